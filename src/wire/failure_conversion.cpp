#include "wire/failure_conversion.hpp"

#include "wire/codec.hpp"
#include "wire/generated/frame_types.h"

#include <chrono>

namespace parsleytrack::wire
{

std::string encode_failure(const error& reason)
{
    failure message;
    message.reason = std::string(to_string(reason.code));
    message.message = reason.message;
    message.may_have_run = reason.ran == ran_state::unknown;
    if (reason.retry_after)
    {
        message.__set_retry_after_ms(to_milliseconds(*reason.retry_after));
    }
    return encode(message);
}

error decode_failure(std::string_view payload)
{
    const result<failure> message = decode<failure>(payload);
    if (message.has_error())
    {
        return error{error_code::internal,
                     message.error().message,
                     ran_state::unknown,
                     {}};
    }
    error reason;
    reason.code = error_code_from_string(message.value().reason);
    reason.message = message.value().message;
    reason.ran =
        message.value().may_have_run ? ran_state::unknown : ran_state::no;
    if (message.value().__isset.retry_after_ms)
    {
        reason.retry_after =
            std::chrono::milliseconds(message.value().retry_after_ms);
    }
    return reason;
}

} // namespace parsleytrack::wire
