#ifndef TOUCANMILL_SRC_AGENT_SESSION_HTTP_MESSAGE_CORE_HPP
#define TOUCANMILL_SRC_AGENT_SESSION_HTTP_MESSAGE_CORE_HPP

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace toucanmill::detail
{

namespace http = boost::beast::http;

/// Beast body type that stores the decoded body up to a limit, or only finds
/// its end.
struct captured_body
{
  struct value_type
  {
    bool keep = false;
    bool overflow = false;
    std::size_t limit = 0; ///< octets
    std::string bytes;
  };

  class reader
  {
  public:
    template <bool IsRequest, class Fields>
    reader(http::header<IsRequest, Fields>&, value_type& value) : value_(value)
    {
    }

    template <class Length>
    void init(const Length&, boost::system::error_code& failure)
    {
      failure = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& failure)
    {
      failure = {};
      std::size_t size = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers))
      {
        add(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }

    void finish(boost::system::error_code& failure)
    {
      failure = {};
    }

  private:
    void add(const char* data, std::size_t size)
    {
      if (!value_.keep || value_.overflow)
        return;
      value_.overflow = value_.bytes.size() + size > value_.limit;
      if (!value_.overflow)
        value_.bytes.append(data, size);
    }

    value_type& value_;
  };
};

/// Progress of an incremental parse.
enum class parse_state : std::uint8_t
{
  incomplete,
  head_complete, ///< the body is not complete yet
  complete,
  too_large,
  malformed,
};

/// Parses one HTTP/1.x message incrementally.
template <bool IsRequest>
class message_reader
{
public:
  using parser_type = http::parser<IsRequest, captured_body>;
  using message = typename parser_type::value_type;

  explicit message_reader(std::size_t max_head)
  {
    parser_.header_limit(static_cast<std::uint32_t>(max_head));
    // In Boost 1.74 boost::none compares less than every length, so with it the
    // parser would reject every body.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  /// Parses up to the end of the head. Returns the number of octets consumed.
  /// The remaining ones must be passed again, followed by new ones.
  std::size_t read_head(std::string_view bytes)
  {
    return read_until(&parser_type::is_header_done, bytes);
  }

  /// Parses up to the end of the message; otherwise as read_head().
  std::size_t read_body(std::string_view bytes)
  {
    return read_until(&parser_type::is_done, bytes);
  }

  /// Signals the end of the connection, which completes a message without a
  /// length.
  void finish()
  {
    if (failed() || parser_.is_done())
      return;
    boost::system::error_code failure = http::error::partial_message;
    if (parser_.got_some())
      parser_.put_eof(failure);
    if (failure)
      state_ = parse_state::malformed;
  }

  parse_state state() const
  {
    if (failed())
      return state_;
    if (parser_.is_done())
      return parse_state::complete;
    return parser_.is_header_done() ? parse_state::head_complete
                                    : parse_state::incomplete;
  }

  /// The message has no body whatever its head declares (response to HEAD).
  void expect_no_body()
  {
    parser_.skip(true);
  }

  /// Stores the decoded body; must be called before read_body().
  void keep_body(std::size_t limit)
  {
    auto& body = parser_.get().body();
    body.keep = true;
    body.limit = limit;
  }

  const parser_type& parser() const
  {
    return parser_;
  }
  const message& head() const
  {
    return parser_.get();
  }
  const captured_body::value_type& body() const
  {
    return parser_.get().body();
  }

private:
  bool failed() const
  {
    return state_ != parse_state::incomplete;
  }

  std::size_t read_until(bool (parser_type::*is_reached)() const,
                         std::string_view bytes)
  {
    std::size_t used = 0;
    while (!failed() && !(parser_.*is_reached)() && used < bytes.size())
      if (!put(bytes, used))
        break;
    return used;
  }

  /// Returns false if the parser needs more bytes or failed.
  bool put(std::string_view bytes, std::size_t& used)
  {
    boost::system::error_code failure;
    const auto rest = bytes.substr(used);
    const auto count = parser_.put({rest.data(), rest.size()}, failure);
    used += count;
    if (failure == http::error::need_more)
      return false;
    if (failure)
      state_ = failure == http::error::header_limit ? parse_state::too_large
                                                    : parse_state::malformed;
    return !failure;
  }

  parser_type parser_;
  /// too_large or malformed after a failure, else incomplete.
  parse_state state_ = parse_state::incomplete;
};

using request_reader = message_reader<true>;
using response_reader = message_reader<false>;
using request_head = http::request_header<>;
using response_head = http::response_header<>;

} // namespace toucanmill::detail

#endif
