#pragma once

#include <string>
#include <string_view>

#include <base/Error.h>

namespace allowance {

struct Answer;
struct Ask;
struct HandOver;

/** Binary form of the messages between daemons; decoders fail with "bad-allowance-message". */
std::string encode(const Ask &ask);
std::string encode(const Answer &answer);
std::string encode(const HandOver &handOver);
base::Result<Ask> decodeAsk(std::string_view bytes);
base::Result<Answer> decodeAnswer(std::string_view bytes);
base::Result<HandOver> decodeHandOver(std::string_view bytes);

} // namespace allowance
