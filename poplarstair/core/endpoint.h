// IP addresses and transport endpoints.
#ifndef POPLARSTAIR_CORE_ENDPOINT_H_
#define POPLARSTAIR_CORE_ENDPOINT_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace poplarstair {

/// An IPv4 or IPv6 address; IPv4 is kept as an IPv4-mapped IPv6 address.
class ip_address {
 public:
  constexpr ip_address() = default;
  constexpr explicit ip_address(const std::array<uint8_t, 16>& bytes)
      : bytes_(bytes) {}

  /// `value` in host byte order.
  static ip_address FromV4(uint32_t value);
  /// Throws invalid_address.
  static ip_address Parse(std::string_view text);

  bool IsV4() const;
  /// Host byte order; only for an IPv4 address.
  uint32_t V4() const;
  /// Network byte order.
  const std::array<uint8_t, 16>& Bytes() const { return bytes_; }
  std::string ToString() const;

  friend constexpr auto operator<=>(const ip_address&,
                                    const ip_address&) = default;

 private:
  std::array<uint8_t, 16> bytes_{};
};

/// An address with a port in host byte order.
struct endpoint {
  ip_address address;
  uint16_t port = 0;

  /// Reads "10.0.0.1:80" or "[::1]:80". Throws invalid_address.
  static endpoint Parse(std::string_view text);
  std::string ToString() const;

  /// Address and port in network byte order, 6 or 18 bytes.
  std::string Pack() const;
  /// Throws malformed_message.
  static endpoint Unpack(std::string_view packed);

  friend constexpr auto operator<=>(const endpoint&, const endpoint&) = default;

  template <typename H>
  friend H AbslHashValue(H state, const endpoint& e) {
    return H::combine(std::move(state), e.address.Bytes(), e.port);
  }
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_ENDPOINT_H_
