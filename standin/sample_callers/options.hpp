#ifndef TOUCANMILL_SAMPLE_CALLERS_OPTIONS_HPP
#define TOUCANMILL_SAMPLE_CALLERS_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace toucanmill::sample_callers
{

struct options
{
  boost::asio::ip::tcp::endpoint target;
  std::size_t feeds = 10;
  std::size_t downloaders = 2;            ///< callers that repeat downloads
  std::size_t submitters = 2;             ///< callers that send submissions
  std::uint64_t download_size = 1U << 20; ///< octets
  std::chrono::milliseconds feed_interval{1000};
  std::chrono::milliseconds pause{50}; ///< mean pause between requests
  std::chrono::milliseconds duration{10000};
  std::chrono::milliseconds timeout{30000}; ///< of one operation
  bool reconnect = false;                   ///< new connection for each request
  std::uint64_t seed = 1;
};

} // namespace toucanmill::sample_callers

#endif
