#pragma once

#include "backends/event_stream_reader.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::backends
{

/// Puts a streamed answer together to the answer that a request without
/// `"stream"` would have got. The text is kept when a stream is cut, so that
/// the next one goes on after it.
class completion_assembler
{
public:
    /// \param generated_so_far Text of earlier attempts.
    /// \param is_chat Whether the answer has the shape of a chat.
    completion_assembler(std::string generated_so_far, bool is_chat);

    /// Begins to read a new stream; what was left of an event is dropped.
    void begin_stream();

    /// Takes in a piece of the stream.
    ///
    /// \returns Whether the stream can still be read.
    bool feed(std::string_view piece);

    /// \returns Whether all text has come.
    bool is_whole() const { return !this->finish_reason.empty(); }

    /// \returns All text so far.
    const std::string& text() const { return this->generated; }

    /// \param model The model's name, for the answer.
    /// \returns The answer as JSON.
    std::string answer(const std::string& model) const;

private:
    void take(const stream_event& event);

    std::string generated;
    bool chat;
    std::string finish_reason;
    std::string usage;
    event_stream_reader reader;
};

} // namespace parsleytrack::backends
