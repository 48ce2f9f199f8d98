// Fuzzes the parser of the scenario language.

#include <cstdint>
#include <string>

#include "poplarstair/testing/scenario.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace poplarstair;
  const std::string text(reinterpret_cast<const char*>(data), size);
  try {
    static_cast<void>(ParseScenario(text, "fuzzed", SOURCE_FOLDER "/samples"));
  } catch (const scenario_error&) {
    // The one way in which it may fail.
  }
  return 0;
}
