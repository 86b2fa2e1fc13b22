#include <toucanmill/agent/session_core.hpp>

#include <benchmark/benchmark.h>

#include <string>

using namespace toucanmill;

namespace
{

const std::string get_request =
    "GET /charts/2026-12-03/17 HTTP/1.1\r\nHost: charts.example\r\n"
    "User-Agent: observer/4.2\r\nAccept: image/png\r\n\r\n";
const std::string keyed_request =
    "POST /estimates HTTP/1.1\r\nHost: charts.example\r\n"
    "User-Agent: observer/4.2\r\nContent-Type: text/plain\r\n"
    "Idempotency-Key: 2f1c8a40-9e9d\r\nContent-Length: 64\r\n\r\n" +
    std::string(64, 'm');

std::string answer_of(std::size_t size)
{
  return "HTTP/1.1 200 OK\r\nServer: sample\r\nContent-Type: text/plain\r\n"
         "Content-Length: " +
         std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
}

/// Payload of a TCP segment; the pieces in which answers arrive.
constexpr std::size_t segment = 1460;

void give(session_core& session, session_input input)
{
  benchmark::DoNotOptimize(session.handle(std::move(input), {}));
}

void give_answer(session_core& session, const std::string& answer)
{
  for (std::size_t at = 0; at < answer.size(); at += segment)
    give(session, upstream_bytes{answer.substr(at, segment)});
}

/// Guards against measuring a session that has ended.
void check_open(benchmark::State& state, session_core& session)
{
  if (session.handle(caller_bytes{get_request}, {}).empty())
    state.SkipWithError("the session ended during the measurement");
}

/// Requests on one caller connection; the range is the answer's body size.
void plain_request(benchmark::State& state)
{
  const auto answer = answer_of(static_cast<std::size_t>(state.range(0)));
  retry_budget budget{0.1};
  const auto session = make_http_session({}, budget);
  for (auto _ : state)
  {
    give(*session, caller_bytes{get_request});
    give(*session, slot_granted{});
    give(*session, upstream_connected{});
    give_answer(*session, answer);
  }
  check_open(state, *session);
  state.SetItemsProcessed(state.iterations());
  state.SetBytesProcessed(state.iterations() * state.range(0));
}

/// Submissions with an idempotency key, each granted, run and recorded.
void claimed_request(benchmark::State& state)
{
  const auto answer = answer_of(static_cast<std::size_t>(state.range(0)));
  retry_budget budget{0.1};
  const auto session = make_http_session({}, budget);
  for (auto _ : state)
  {
    give(*session, caller_bytes{keyed_request});
    give(*session, slot_granted{});
    give(*session, claim_decided{claim_status::granted, {}});
    give(*session, upstream_connected{});
    give_answer(*session, answer);
    give(*session, claim_recorded{true});
  }
  check_open(state, *session);
  state.SetItemsProcessed(state.iterations());
}

BENCHMARK(plain_request)->Arg(128)->Arg(16384)->Arg(1048576);
BENCHMARK(claimed_request)->Arg(128)->Arg(16384);

} // namespace

BENCHMARK_MAIN();
