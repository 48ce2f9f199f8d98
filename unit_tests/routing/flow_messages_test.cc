#include "poplarstair/routing/flow_messages.h"

#include <criterion/criterion.h>

#include "poplarstair/core/random.h"

using namespace poplarstair;

Test(flow_messages, records_survive_encoding) {
  random_source random(3);
  std::vector<flow_record> records;
  records.reserve(500);
  for (int i = 0; i < 500; ++i) {
    records.push_back({random() >> kFingerprintShift,
                       backend_server_id(1 + RandomBelow(random, 5))});
  }
  const auto decoded = DecodeRecords(EncodeRecords(records));
  cr_assert_eq(decoded.size(), records.size());
  uint64_t expected = 0;
  uint64_t actual = 0;
  for (const auto& r : records)
    expected ^= HashCombine(r.flow, r.server.Value());
  for (const auto& r : decoded) actual ^= HashCombine(r.flow, r.server.Value());
  cr_assert_eq(actual, expected);
}

Test(flow_messages, truncated_records_are_rejected) {
  const std::string whole = EncodeRecords(
      {{1, backend_server_id(7)}, {1 << 20, backend_server_id(7)}});
  for (size_t length = 1; length < whole.size(); ++length) {
    cr_assert_throw((void)DecodeRecords(whole.substr(0, length)),
                    malformed_message);
  }
}

Test(flow_messages, bucket_states_survive_encoding) {
  const auto decoded =
      DecodeBuckets(EncodeBuckets({{9, 1, 2, true, 5}, {4, 0, 0, false, 6}}));
  cr_assert_eq(decoded.size(), 2u);
  cr_assert_eq(decoded[0].bucket, 4u);
  cr_assert_not(decoded[0].settled);
  cr_assert_eq(decoded[1].bucket, 9u);
  cr_assert_eq(decoded[1].epoch, 2u);
  cr_assert_eq(decoded[1].changed_in, 5u);
}
