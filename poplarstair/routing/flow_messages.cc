#include "poplarstair/routing/flow_messages.h"

#include <algorithm>

namespace poplarstair {

namespace {

constexpr int kVarintBits = 7;
constexpr int kByteBits = 8;
constexpr int kIdBits = 64;
constexpr uint8_t kMoreFollows = 0x80;
constexpr int kMaxShift = 63;
constexpr uint64_t kMaxBucket = 0xffffffff;

void PutVarint(std::string& out, uint64_t value) {
  while (value >= kMoreFollows) {
    out.push_back(static_cast<char>(value | kMoreFollows));
    value >>= kVarintBits;
  }
  out.push_back(static_cast<char>(value));
}

uint64_t TakeVarint(std::string_view& in) {
  uint64_t value = 0;
  for (int shift = 0; shift < kMaxShift; shift += kVarintBits) {
    if (in.empty()) break;
    const auto byte = static_cast<uint8_t>(in.front());
    in.remove_prefix(1);
    value |= static_cast<uint64_t>(byte & (kMoreFollows - 1)) << shift;
    if ((byte & kMoreFollows) == 0) return value;
  }
  throw malformed_message("flow records", "cut varint");
}

void PutId(std::string& out, uint64_t id) {
  for (int shift = 0; shift < kIdBits; shift += kByteBits) {
    out.push_back(static_cast<char>(id >> shift));
  }
}

uint64_t TakeId(std::string_view& in) {
  if (in.size() < kIdBits / kByteBits) {
    throw malformed_message("flow records", "cut identifier");
  }
  uint64_t id = 0;
  for (int shift = 0; shift < kIdBits; shift += kByteBits) {
    id |= static_cast<uint64_t>(static_cast<uint8_t>(in.front())) << shift;
    in.remove_prefix(1);
  }
  return id;
}

}  // namespace

std::string EncodeRecords(std::vector<flow_record> records) {
  std::sort(records.begin(), records.end(),
            [](const flow_record& a, const flow_record& b) {
              return a.server != b.server ? a.server < b.server
                                          : a.flow < b.flow;
            });
  std::string out;
  size_t i = 0;
  while (i < records.size()) {
    size_t end = i;
    while (end < records.size() && records[end].server == records[i].server) {
      ++end;
    }
    PutId(out, records[i].server.Value());
    PutVarint(out, end - i);
    flow_fingerprint previous = 0;
    for (; i < end; ++i) {
      PutVarint(out, records[i].flow - previous);
      previous = records[i].flow;
    }
  }
  return out;
}

std::vector<flow_record> DecodeRecords(std::string_view bytes) {
  std::vector<flow_record> records;
  while (!bytes.empty()) {
    const backend_server_id server(TakeId(bytes));
    const uint64_t count = TakeVarint(bytes);
    // Each record takes a byte at least.
    if (count > bytes.size()) {
      throw malformed_message("flow records", "impossible group");
    }
    flow_fingerprint flow = 0;
    for (uint64_t i = 0; i < count; ++i) {
      flow += TakeVarint(bytes);
      records.push_back({flow, server});
    }
  }
  return records;
}

std::string EncodeBuckets(std::vector<bucket_entry> entries) {
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.bucket < b.bucket; });
  std::string out;
  uint32_t previous = 0;
  for (const bucket_entry& entry : entries) {
    const uint64_t step = entry.bucket - previous;
    PutVarint(out, step << 1 | (entry.settled ? 1 : 0));
    PutVarint(out, entry.base);
    PutVarint(out, entry.epoch);
    PutVarint(out, entry.changed_in);
    previous = entry.bucket;
  }
  return out;
}

std::vector<bucket_entry> DecodeBuckets(std::string_view bytes) {
  std::vector<bucket_entry> entries;
  uint64_t bucket = 0;
  while (!bytes.empty()) {
    const uint64_t step = TakeVarint(bytes);
    const uint64_t base = TakeVarint(bytes);
    const uint64_t epoch = TakeVarint(bytes);
    const uint64_t changed_in = TakeVarint(bytes);
    bucket += step >> 1;
    if (bucket > kMaxBucket || base > kNoServer || epoch > kNoServer) {
      throw malformed_message("bucket states", "number out of range");
    }
    entries.push_back(
        {static_cast<uint32_t>(bucket), static_cast<uint16_t>(base),
         static_cast<uint16_t>(epoch), (step & 1) != 0, changed_in});
  }
  return entries;
}

}  // namespace poplarstair
