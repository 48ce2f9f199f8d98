// Fuzzes what the platform's store answers: lists and watches of each
// collection, and the hand-over between instances of what was read.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "platform/store_codec.h"
#include "poplarstair/catalog/catalog_replica.h"
#include "poplarstair/core/error.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace poplarstair;
  constexpr time_point kNow{std::chrono::seconds(100)};
  constexpr std::array<collection, kCollections> kAll = {
      collection::kRoutes, collection::kServers, collection::kWithdrawals};
  const std::string body(reinterpret_cast<const char*>(data), size);
  for (const collection what : kAll) {
    for (const auto operation :
         {store_operation::kList, store_operation::kWatch}) {
      store_request request;
      request.operation = operation;
      request.what = what;
      const store_reply reply =
          FromStoreAnswer(kNow, request, http_reply{200, {}, body});
      if (reply.status != store_status::kOk) continue;
      catalog_replica replica([](const log_record&) {});
      replica.Replace(kNow, what, {0, reply.revision}, reply.objects);
      catalog_replica other([](const log_record&) {});
      other.Import(kNow, what, replica.Export(kNow, what));
    }
    catalog_replica replica([](const log_record&) {});
    try {
      replica.Import(kNow, what, body);
    } catch (const malformed_message&) {
      // The one way in which it may fail.
    }
  }
  return 0;
}
