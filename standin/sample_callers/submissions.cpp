#include "workers.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <thread>

#include "caller.hpp"

namespace toucanmill::sample_callers
{

namespace
{

/// Sends of one submission at most; a resend waits at least a second, so this
/// covers a failover of the control group.
constexpr int max_sends = 20;

constexpr std::chrono::seconds max_retry_after{3};

struct answer
{
  http::status status = http::status::unknown; ///< unknown: answer lost
  std::string body;
  std::chrono::milliseconds retry_after{200};
};

answer read_answer(caller& client, caller::parser& response)
{
  answer read;
  std::string piece;
  bool more = true;
  while (more)
  {
    more = client.read_body(response, piece);
    read.body += piece;
  }
  if (response.is_done())
    read.status = response.get().result();
  if (const auto value = response.get()[http::field::retry_after];
      !value.empty())
    read.retry_after = std::chrono::seconds(
        std::strtol(std::string(value).c_str(), nullptr, 10));
  client.finish(response);
  return read;
}

answer send_submission(caller& client, const std::string& id)
{
  caller::request message(http::verb::post, "/submit?id=" + id, 11);
  message.set(http::field::host, "standin");
  message.set("Idempotency-Key", id);
  message.body() = "estimate " + id;
  const auto response = client.exchange(std::move(message));
  return response ? read_answer(client, *response) : answer{};
}

/// True when the submission must be sent again.
bool count_resend(http::status status, report& counts)
{
  if (status == http::status::service_unavailable)
    ++counts.resent_503;
  else if (status == http::status::conflict)
    ++counts.resent_409;
  else if (status == http::status::unknown)
    ++counts.resent_lost;
  else
    return false;
  return true;
}

void count_final(const answer& last, report& counts)
{
  if (last.status == http::status::ok && last.body == "1\n")
    ++counts.submissions_complete;
  else if (last.status == http::status::ok)
    ++counts.submissions_run_twice;
  else if (last.status == http::status::bad_gateway)
    ++counts.submissions_unknown;
  else
    ++counts.submissions_rejected;
}

void submit_once(caller& client, const std::string& id, report& counts)
{
  ++counts.submissions;
  for (int sends = 0; sends < max_sends; ++sends)
  {
    const auto start = std::chrono::steady_clock::now();
    const auto got = send_submission(client, id);
    if (!count_resend(got.status, counts))
    {
      count_final(got, counts);
      counts.latencies.push_back(
          std::chrono::duration_cast<std::chrono::microseconds>(
              std::chrono::steady_clock::now() - start)
              .count());
      return;
    }
    client.close();
    std::this_thread::sleep_for(
        std::min<std::chrono::milliseconds>(got.retry_after, max_retry_after));
  }
  ++counts.submissions_given_up;
}

} // namespace

report run_submissions(const options& settings, std::size_t worker,
                       deadline end)
{
  report counts;
  caller client(settings);
  std::mt19937_64 random(settings.seed * 1000033 + worker);
  std::uniform_int_distribution<int> pause(
      0, static_cast<int>(2 * settings.pause.count()));
  for (std::uint64_t number = 0; std::chrono::steady_clock::now() < end;
       ++number)
  {
    submit_once(client, fmt::format("s{}-{}-{}", settings.seed, worker, number),
                counts);
    std::this_thread::sleep_for(std::chrono::milliseconds(pause(random)));
  }
  return counts;
}

} // namespace toucanmill::sample_callers
