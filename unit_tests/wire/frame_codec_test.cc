#include "poplarstair/wire/frame_codec.h"

#include <criterion/criterion.h>

#include "poplarstair/core/error.h"

using namespace poplarstair;

namespace {

peer_message SampleMessage() {
  peer_message message;
  message.from = instance_id(7);
  message.channel = message_channel::kFlow;
  message.body = "body";
  message.sender_incarnation = 99;
  return message;
}

}  // namespace

Test(frame_codec, reads_frames_that_come_byte_by_byte) {
  const std::string bytes = EncodeFrame(SampleMessage());
  frame_decoder decoder;
  for (size_t i = 0; i + 1 < bytes.size(); ++i) {
    decoder.Append(bytes.substr(i, 1));
    cr_assert(!decoder.Next().has_value());
  }
  decoder.Append(bytes.substr(bytes.size() - 1));
  const auto message = decoder.Next();
  cr_assert(message.has_value());
  cr_assert_eq(message->from, instance_id(7));
  cr_assert_eq(message->body, "body");
  cr_assert_eq(message->sender_incarnation, 99u);
  cr_assert_eq(bytes.size(), SampleMessage().WireBytes());
}

Test(frame_codec, rejects_rubbish) {
  const std::string good = EncodeFrame(SampleMessage());
  std::string too_long = good;
  too_long[0] = 0x7f;
  std::string bad_version = good;
  bad_version[4] = 9;
  std::string bad_channel = good;
  bad_channel[5] = 9;
  const std::string too_short(8, '\0');
  for (const std::string& bytes :
       {too_long, bad_version, bad_channel, too_short}) {
    frame_decoder decoder;
    decoder.Append(bytes);
    cr_assert_throw(decoder.Next(), malformed_message);
  }
}
