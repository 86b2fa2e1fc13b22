#ifndef TOUCANMILL_AGENT_HTTP_MESSAGE_CORE_HPP
#define TOUCANMILL_AGENT_HTTP_MESSAGE_CORE_HPP

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

/// Body that is decoded into memory up to a limit, or only delimited.
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

/// State of an incremental read.
enum class reading : std::uint8_t
{
  incomplete,
  head,     ///< the head is complete, the body is not
  complete, ///< the whole message was read
  too_large,
  malformed,
};

/// Reads one HTTP/1.x message from bytes that arrive in pieces.
template <bool IsRequest>
class message_reader
{
public:
  using parser = http::parser<IsRequest, captured_body>;
  using message = typename parser::value_type;

  explicit message_reader(std::size_t max_head)
  {
    parser_.header_limit(static_cast<std::uint32_t>(max_head));
    // boost::none compares as less than every length in Boost 1.74, so that
    // the parser would refuse each body.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  /// Reads up to the end of the head. Returns the octets consumed; the caller
  /// presents the others again, followed by new ones.
  std::size_t read_head(std::string_view bytes)
  {
    std::size_t used = 0;
    while (!failed() && !parser_.is_header_done() && used < bytes.size())
      if (!put(bytes, used))
        break;
    return used;
  }

  /// Reads up to the end of the message, as read_head().
  std::size_t read_body(std::string_view bytes)
  {
    std::size_t used = 0;
    while (!failed() && !parser_.is_done() && used < bytes.size())
      if (!put(bytes, used))
        break;
    return used;
  }

  /// No byte follows: ends a message that the connection delimits.
  void finish()
  {
    if (failed() || parser_.is_done())
      return;
    boost::system::error_code failure = http::error::partial_message;
    if (parser_.got_some())
      parser_.put_eof(failure);
    if (failure)
      state_ = reading::malformed;
  }

  reading state() const
  {
    if (failed())
      return state_;
    if (parser_.is_done())
      return reading::complete;
    return parser_.is_header_done() ? reading::head : reading::incomplete;
  }

  /// The answer has a head only, whatever the head says (answer to HEAD).
  void expect_no_body()
  {
    parser_.skip(true);
  }

  /// Keeps the decoded body; call it before the body is read.
  void keep_body(std::size_t limit)
  {
    auto& body = parser_.get().body();
    body.keep = true;
    body.limit = limit;
  }

  const parser& get() const
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
    return state_ != reading::incomplete;
  }

  /// False when more bytes are needed.
  bool put(std::string_view bytes, std::size_t& used)
  {
    boost::system::error_code failure;
    const auto rest = bytes.substr(used);
    const auto count = parser_.put({rest.data(), rest.size()}, failure);
    used += count;
    if (failure == http::error::need_more)
      return false;
    if (failure)
      state_ = failure == http::error::header_limit ? reading::too_large
                                                    : reading::malformed;
    return !failure;
  }

  parser parser_;
  reading state_ = reading::incomplete; ///< otherwise the failure
};

using request_reader = message_reader<true>;
using answer_reader = message_reader<false>;
using request_head = http::request_header<>;
using answer_head = http::response_header<>;

} // namespace toucanmill::detail

#endif
