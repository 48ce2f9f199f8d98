#include "poplarstair/core/endpoint.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>

#include "poplarstair/core/assert.h"
#include "poplarstair/core/byte_order.h"
#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

// Sizes of a packed endpoint's parts.
constexpr size_t kV4Bytes = 4;
constexpr size_t kV6Bytes = 16;
constexpr size_t kPortBytes = 2;

constexpr std::array<uint8_t, 12> kV4MappedPrefix = {0, 0, 0, 0, 0,    0,
                                                     0, 0, 0, 0, 0xff, 0xff};

uint16_t ParsePort(std::string_view text, std::string_view whole) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, port);
  if (status != std::errc() || rest != end || text.empty()) {
    throw invalid_address(whole);
  }
  return port;
}

}  // namespace

ip_address ip_address::FromV4(uint32_t value) {
  std::array<uint8_t, 16> bytes{};
  std::copy(kV4MappedPrefix.begin(), kV4MappedPrefix.end(), bytes.begin());
  const uint32_t network_order = htonl(value);
  std::memcpy(bytes.data() + kV4MappedPrefix.size(), &network_order,
              sizeof(network_order));
  return ip_address(bytes);
}

ip_address ip_address::Parse(std::string_view text) {
  const std::string terminated(text);
  in_addr v4{};
  if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1) {
    return FromV4(ntohl(v4.s_addr));
  }
  std::array<uint8_t, 16> bytes{};
  if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1) {
    return ip_address(bytes);
  }
  throw invalid_address(text);
}

bool ip_address::IsV4() const {
  return std::equal(kV4MappedPrefix.begin(), kV4MappedPrefix.end(),
                    bytes_.begin());
}

uint32_t ip_address::V4() const {
  POPLARSTAIR_ASSERT(IsV4());
  uint32_t network_order = 0;
  std::memcpy(&network_order, bytes_.data() + kV4MappedPrefix.size(),
              sizeof(network_order));
  return ntohl(network_order);
}

std::string ip_address::ToString() const {
  char text[INET6_ADDRSTRLEN];
  if (IsV4()) {
    inet_ntop(AF_INET, bytes_.data() + kV4MappedPrefix.size(), text,
              sizeof(text));
  } else {
    inet_ntop(AF_INET6, bytes_.data(), text, sizeof(text));
  }
  return text;
}

endpoint endpoint::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) throw invalid_address(text);
  std::string_view host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const uint16_t port = ParsePort(text.substr(colon + 1), text);
  return endpoint{ip_address::Parse(host), port};
}

std::string endpoint::ToString() const {
  const std::string host = address.ToString();
  const std::string shown = address.IsV4() ? host : "[" + host + "]";
  return shown + ":" + std::to_string(port);
}

std::string endpoint::Pack() const {
  std::string packed;
  const auto& bytes = address.Bytes();
  const size_t skipped = address.IsV4() ? kV6Bytes - kV4Bytes : 0;
  packed.append(bytes.begin() + skipped, bytes.end());
  AppendBigEndian(port, packed);
  return packed;
}

endpoint endpoint::Unpack(std::string_view packed) {
  endpoint e;
  if (packed.size() == kV4Bytes + kPortBytes) {
    e.address = ip_address::FromV4(LoadBigEndian<uint32_t>(BytesAt(packed, 0)));
  } else if (packed.size() == kV6Bytes + kPortBytes) {
    std::array<uint8_t, kV6Bytes> bytes{};
    std::copy_n(packed.begin(), kV6Bytes, bytes.begin());
    e.address = ip_address(bytes);
  } else {
    throw malformed_message("endpoint", "length of an address");
  }
  const size_t at = packed.size() - kPortBytes;
  e.port = LoadBigEndian<uint16_t>(BytesAt(packed, at));
  return e;
}

}  // namespace poplarstair
