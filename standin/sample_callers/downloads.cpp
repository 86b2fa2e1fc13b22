#include "workers.hpp"

#include <xxhash.h>

#include <fmt/format.h>
#include <memory>
#include <random>
#include <thread>

#include "caller.hpp"

namespace toucanmill::sample_callers
{

namespace
{

caller::request download_request(const options& settings)
{
  caller::request message(
      http::verb::get, fmt::format("/download?size={}", settings.download_size),
      11);
  message.set(http::field::host, "standin");
  return message;
}

void count_body(caller& client, caller::parser& response, report& counts)
{
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  std::string piece;
  bool more = true;
  while (more)
  {
    more = client.read_body(response, piece);
    XXH3_64bits_update(state.get(), piece.data(), piece.size());
    counts.download_octets += piece.size();
  }
  const auto expected = response.get()["X-Checksum"];
  const auto found = fmt::format("{:016x}", XXH3_64bits_digest(state.get()));
  if (!response.is_done())
    ++counts.downloads_cut;
  else if (expected != found)
    ++counts.downloads_wrong_checksum;
  else
    ++counts.downloads_complete;
}

void download_once(const options& settings, caller& client, report& counts)
{
  const auto response = client.exchange(download_request(settings));
  if (!response)
  {
    ++counts.downloads_failed;
    return;
  }
  if (response->get().result() != http::status::ok)
  {
    ++counts.downloads_refused;
    std::string ignored;
    while (client.read_body(*response, ignored))
      continue;
  }
  else
    count_body(client, *response, counts);
  client.finish(*response);
}

} // namespace

report run_downloads(const options& settings, std::size_t worker, deadline end)
{
  report counts;
  caller client(settings);
  std::mt19937_64 random(settings.seed * 1000003 + worker);
  std::uniform_int_distribution<int> pause(
      0, static_cast<int>(2 * settings.pause.count()));
  while (std::chrono::steady_clock::now() < end)
  {
    download_once(settings, client, counts);
    std::this_thread::sleep_for(std::chrono::milliseconds(pause(random)));
  }
  return counts;
}

} // namespace toucanmill::sample_callers
