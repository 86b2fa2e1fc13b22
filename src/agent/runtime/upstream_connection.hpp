#ifndef TOUCANMILL_SRC_AGENT_RUNTIME_UPSTREAM_CONNECTION_HPP
#define TOUCANMILL_SRC_AGENT_RUNTIME_UPSTREAM_CONNECTION_HPP

#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include <toucanmill/agent/session_core.hpp>
#include <toucanmill/base/address.hpp>

namespace toucanmill::detail
{

/// Receives the events of an upstream connection.
class upstream_handler
{
public:
  virtual ~upstream_handler() = default;

  virtual void on_upstream_input(session_input input) = 0;

  /// Queued octets were sent.
  virtual void on_upstream_sent() = 0;

  /// Returns false while too many octets are buffered for the caller.
  virtual bool accepts_upstream_bytes() const = 0;
};

/// TCP connection to the upstream, used by one flow. The handler gets no inputs
/// after close().
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>
{
public:
  /// The read buffer is shared by all connections of a thread. It is only used
  /// when data is available, so that idle flows need no buffer.
  upstream_connection(asio::io_context& context,
                      std::weak_ptr<upstream_handler> handler,
                      std::vector<char>& buffer);

  void connect(const endpoint& upstream, duration timeout);
  void send(std::string bytes);

  /// Sends a FIN after the queued octets.
  void finish();
  void close();

  /// Starts a read if the handler accepts bytes and no read is in progress.
  void read();

  std::size_t queued() const
  {
    return queued_.size() + writing_.size();
  }

private:
  void on_connect(std::error_code error);
  void on_readable();
  void write();
  void on_written(std::error_code error);
  void on_write_failed();
  void notify(session_input input);

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  std::weak_ptr<upstream_handler> handler_;
  std::vector<char>& buffer_;
  std::string queued_;
  std::string writing_;
  bool open_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool read_ended_ = false;
  bool finish_requested_ = false;
  bool write_failed_ = false;
};

} // namespace toucanmill::detail

#endif
