#ifndef TOUCANMILL_SRC_AGENT_UPSTREAM_LINK_HPP
#define TOUCANMILL_SRC_AGENT_UPSTREAM_LINK_HPP

#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include <toucanmill/agent/session_core.hpp>
#include <toucanmill/base/address.hpp>

namespace toucanmill::detail
{

/// The flow that an upstream connection belongs to.
class upstream_owner
{
public:
  virtual ~upstream_owner() = default;

  virtual void on_upstream(session_input input) = 0;

  /// Octets left the send queue.
  virtual void on_upstream_sent() = 0;

  /// False while too many octets wait for the caller.
  virtual bool wants_upstream_bytes() const = 0;
};

/// One connection to the upstream, of one flow only. After close() the owner
/// hears nothing of it.
class upstream_link : public std::enable_shared_from_this<upstream_link>
{
public:
  /// The buffer is shared by all links of a thread: a link reads into it only
  /// when bytes are waiting, so that an idle flow needs no buffer.
  upstream_link(asio::io_context& context, std::weak_ptr<upstream_owner> owner,
                std::vector<char>& buffer);

  void connect(const endpoint& upstream, duration timeout);
  void send(std::string bytes);

  /// FIN after the queued octets.
  void finish();
  void close();

  /// Reads if the owner wants bytes and no read is under way.
  void read();

  std::size_t queued() const
  {
    return queued_.size() + writing_.size();
  }

private:
  void on_connect(std::error_code error);
  void on_readable();
  void write();
  void tell(session_input input);

  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  std::weak_ptr<upstream_owner> owner_;
  std::vector<char>& buffer_;
  std::string queued_;
  std::string writing_;
  bool open_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool end_read_ = false;
  bool finishing_ = false;
  bool write_failed_ = false;
};

} // namespace toucanmill::detail

#endif
