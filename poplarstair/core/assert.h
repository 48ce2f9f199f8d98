// Assertions on invariants; they stay on in release builds.
#ifndef POPLARSTAIR_CORE_ASSERT_H_
#define POPLARSTAIR_CORE_ASSERT_H_

#include <cstdio>
#include <cstdlib>

/// Ends the process when `condition` is false: a broken invariant, never a
/// reaction to bad input.
#define POPLARSTAIR_ASSERT(condition)                                 \
  do {                                                                \
    if (!(condition)) {                                               \
      std::fprintf(stderr, "%s:%d: invariant broken: %s\n", __FILE__, \
                   __LINE__, #condition);                             \
      std::abort();                                                   \
    }                                                                 \
  } while (false)

#endif  // POPLARSTAIR_CORE_ASSERT_H_
