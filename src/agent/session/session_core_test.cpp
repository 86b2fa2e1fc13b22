#include "session_driver_test.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace toucanmill;
using namespace std::chrono_literals;
using ev = request_event;

namespace
{

using inputs = std::vector<session_input>;

const std::string get = "GET /chart HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string post = "POST /e HTTP/1.1\r\nHost: a\r\n";
const std::string sized = "Content-Length: 4\r\n\r\nm=12";
const std::string keyed = post + "Idempotency-Key: k\r\n";
const std::string keyed_post = keyed + sized;
const std::string timed =
    post + "Toucanmill-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n";
const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string answer = ok + "Content-Length: 2\r\n\r\nhi";
const std::string chunked =
    ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
const std::string closing = "Connection: close\r\n";
const std::string large(70000, 'x');

std::string refusal(const std::string& status, const std::string& outcome,
                    const std::string& fields = "Retry-After: 1\r\n")
{
  return "HTTP/1.1 " + status + "\r\nToucanmill-Outcome: " + outcome + "\r\n" +
         fields + "Content-Length: 0\r\n\r\n";
}

const std::string unavailable = refusal("503 Service Unavailable", "not-run");
const std::string bad_gateway = refusal("502 Bad Gateway", "unknown");

inputs operator+(inputs left, const inputs& right)
{
  left.insert(left.end(), right.begin(), right.end());
  return left;
}

/// Inputs up to the point at which the request was sent to the upstream.
inputs running(const std::string& request)
{
  return {caller_bytes{request}, slot_granted{}, upstream_connected{}};
}

inputs claiming(claim_status status, const std::string& stored = {})
{
  return {caller_bytes{keyed_post}, slot_granted{},
          claim_decided{status, stored}};
}

inputs running_claim()
{
  return claiming(claim_status::granted) + inputs{upstream_connected{}};
}

session_input upstream_sends(const std::string& bytes)
{
  return upstream_bytes{bytes};
}

/// Runs a session and compares all its observable actions.
void expect(const char* guards_against, const inputs& given,
            const std::string& to_caller,
            const std::vector<request_event>& events,
            caller_end end = caller_end::open, int connects = 1,
            int released_claims = 0)
{
  retry_budget budget{0.1};
  session_driver driver{make_http_session({}, budget)};
  driver.handle_all(given);
  const auto text = guards_against + ("\n" + driver.to_caller.substr(0, 300));
  const auto is_same = [&text](bool same)
  {
    CHECK_TRUE_TEXT(same, text.c_str());
  };
  is_same(to_caller == driver.to_caller);
  is_same(events == driver.events);
  is_same(end == driver.end);
  is_same(connects == driver.connects && driver.open_upstreams == 0);
  is_same(released_claims == driver.released_claims);
  is_same(driver.slots == 0 && !driver.session->busy());
}

} // namespace

TEST_GROUP(session){};

// Each entry names the failure that it guards against.
TEST(session, http_response_is_complete_and_unaltered)
{
  const auto finished = caller_end::finished;
  const auto reset = caller_end::reset;
  expect(
      "altered responses to two pipelined requests",
      running(get + get) +
          inputs{upstream_sends(answer.substr(0, 9)),
                 upstream_sends(answer.substr(9))} +
          inputs{slot_granted{}, upstream_connected{}, upstream_sends(answer)},
      answer + answer, {ev::completed, ev::completed}, {}, 2);
  expect("extra upstream bytes that reach a caller",
         running(get) +
             inputs{upstream_sends(answer + ok), upstream_sends("late")},
         answer,
         {ev::unexpected_upstream_bytes, ev::completed,
          ev::unexpected_upstream_bytes});
  expect("a truncated response that looks complete",
         running(get) +
             inputs{upstream_sends(answer.substr(0, answer.size() - 1)),
                    upstream_finished{}},
         answer.substr(0, answer.size() - 1), {ev::truncated_answer}, reset);
  expect("a response whose end the caller cannot detect",
         running(get) + inputs{upstream_sends(ok + "\r\nfe"),
                               upstream_sends("ed"), upstream_finished{}},
         ok + closing + "\r\nfeed", {ev::completed}, finished);
  expect("a reset that looks like the end of a feed",
         running(get) +
             inputs{upstream_sends(ok + "\r\nfeed"), upstream_disconnected{}},
         ok + closing + "\r\nfeed", {ev::truncated_answer}, reset);
  expect("work for a caller that disconnected",
         running(get) + inputs{caller_disconnected{}}, "", {ev::cancelled});
}

// Each entry names the failure that it guards against.
TEST(session, http_response_framing)
{
  expect("waiting for the body of a response to HEAD",
         running("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n") +
             inputs{upstream_sends(ok + "Content-Length: 2\r\n\r\n")},
         ok + "Content-Length: 2\r\n\r\n", {ev::completed});
  expect("waiting for the body of a 204",
         running(get) + inputs{upstream_sends("HTTP/1.1 204 No\r\n\r\n")},
         "HTTP/1.1 204 No\r\n\r\n", {ev::completed});
  expect("waiting for the body of a 304",
         running(get) +
             inputs{upstream_sends("HTTP/1.1 304 No\r\nContent-Length: 2\r\n"
                                   "\r\n")},
         "HTTP/1.1 304 No\r\nContent-Length: 2\r\n\r\n", {ev::completed});
  expect("a chunked response that is re-framed",
         running(get) + inputs{upstream_sends(chunked.substr(0, 49)),
                               upstream_sends(chunked.substr(49))},
         chunked, {ev::completed});
  expect("an interim response that is taken as the final one",
         running(get) +
             inputs{upstream_sends("HTTP/1.1 103 Hints\r\n\r\n" + answer)},
         "HTTP/1.1 103 Hints\r\n\r\n" + answer, {ev::completed});
  expect("a caller who waits for 100 Continue",
         running(post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n") +
             inputs{caller_bytes{"ab"}, upstream_sends(answer)},
         "HTTP/1.1 100 Continue\r\n\r\n" + answer, {ev::completed});
  expect("an upstream that sets the outcome field",
         running(get) +
             inputs{upstream_sends(ok + "Toucanmill-Outcome: not-run\r\n"
                                        "Content-Length: 0\r\n\r\n")},
         ok + "Content-Length: 0\r\n\r\n", {ev::completed});
}

// Each entry names the failure that it guards against.
TEST(session, http_closing)
{
  const auto finished = caller_end::finished;
  expect("a half-close that cuts off the response",
         inputs{caller_bytes{get}, caller_finished{}, slot_granted{},
                upstream_connected{}, upstream_sends(answer)},
         answer, {ev::completed}, finished);
  expect("a drain that cuts off the response",
         running(get) + inputs{drain_started{}, upstream_sends(answer)},
         ok + closing + "Content-Length: 2\r\n\r\nhi", {ev::completed},
         finished);
  expect("a drain that cuts off a request in flight",
         running(get) + inputs{upstream_sends(answer), drain_started{}} +
             running(get) + inputs{upstream_sends(answer)},
         answer + ok + closing + "Content-Length: 2\r\n\r\nhi",
         {ev::completed, ev::completed}, finished, 2);
  expect("a drain that waits for idle callers indefinitely",
         running(get) +
             inputs{upstream_sends(answer), drain_started{}, timer_expired{}},
         answer, {ev::completed}, finished);
  expect(
      "a drain that loses the first request of a new connection",
      inputs{drain_started{}} + running(get) + inputs{upstream_sends(answer)},
      ok + closing + "Content-Length: 2\r\n\r\nhi", {ev::completed}, finished);
  expect("a drain that cuts off a head of which the parser consumed a part",
         running(get) + inputs{upstream_sends(answer), caller_bytes{"\r\n"},
                               caller_bytes{"GET / HTTP/1.1\r\n"},
                               drain_started{}, caller_bytes{"Host: a\r\n\r\n"},
                               slot_granted{}, upstream_connected{},
                               upstream_sends(answer)},
         answer + ok + closing + "Content-Length: 2\r\n\r\nhi",
         {ev::completed, ev::completed}, finished, 2);
  expect("a drain that waits for new connections indefinitely",
         inputs{drain_started{}, timer_expired{}}, "", {}, finished, 0);
}

// Each entry names the failure that it guards against.
TEST(session, http_outcomes)
{
  expect("a refusal that is delayed",
         inputs{caller_bytes{post + sized}, slot_refused{1500ms}},
         refusal("503 Service Unavailable", "not-run", "Retry-After: 2\r\n"),
         {ev::refused_queue_full}, {}, 0);
  expect("'not run' or a second run after a failure",
         running(post + sized) + inputs{upstream_disconnected{}}, bad_gateway,
         {ev::unknown_upstream_gone});
  expect("more than one retry",
         running(get) + inputs{upstream_disconnected{}, upstream_connected{},
                               upstream_finished{}},
         bad_gateway, {ev::retried_idempotent, ev::unknown_upstream_gone}, {},
         2);
  expect("'not run' after a first attempt",
         running(get) + inputs{upstream_disconnected{}, upstream_refused{}},
         bad_gateway, {ev::retried_idempotent, ev::unknown_upstream_gone}, {},
         2);
  expect("a retry after the response began",
         running(get) + inputs{upstream_sends("H"), upstream_disconnected{}},
         bad_gateway, {ev::unknown_upstream_gone});
  expect("'unknown' although nothing was sent",
         inputs{caller_bytes{post + sized}, slot_granted{}, upstream_refused{}},
         unavailable, {ev::refused_upstream_unreachable});
  expect("a caller who waits beyond the deadline",
         running(timed) + inputs{timer_expired{}},
         refusal("502 Bad Gateway", "unknown", "Retry-After: 1\r\n" + closing),
         {ev::unknown_deadline}, caller_end::finished);
}

// Each entry names the failure that it guards against.
TEST(session, http_claims)
{
  expect("a run without a claim", claiming(claim_status::in_progress),
         refusal("409 Conflict", "unknown"), {ev::refused_claim_in_progress},
         {}, 0);
  expect("the response to another request with the same key",
         claiming(claim_status::different_request),
         refusal("422 Unprocessable Entity", "not-run", ""),
         {ev::refused_claim_different}, {}, 0);
  expect("a second run", claiming(claim_status::completed, answer), answer,
         {ev::replayed}, {}, 0);
  expect("a second run after a response too large to record",
         claiming(claim_status::completed), refusal("409 Conflict", "unknown"),
         {ev::refused_claim_in_progress}, {}, 0);
  expect("a claim that is kept although nothing was sent",
         claiming(claim_status::granted) + inputs{upstream_refused{}},
         unavailable, {ev::refused_upstream_unreachable}, {}, 1, 1);
  expect(
      "a claim that is kept when the caller disconnects early",
      inputs{caller_bytes{keyed_post}, slot_granted{}, caller_disconnected{}},
      "", {ev::cancelled}, {}, 0, 1);
  expect("a released claim of a request that may have run",
         running_claim() + inputs{upstream_disconnected{}}, bad_gateway,
         {ev::unknown_upstream_gone});
  expect("a response that is relayed before it is recorded",
         running_claim() +
             inputs{upstream_sends(answer), caller_disconnected{}},
         "", {ev::cancelled});
  expect("a recorded response without a length",
         running_claim() +
             inputs{upstream_sends(chunked), claim_recorded{true}},
         answer, {ev::completed});
  expect("a response lost because it was not recorded",
         running_claim() +
             inputs{upstream_sends(answer), claim_recorded{false}},
         answer, {ev::answer_not_recorded, ev::completed});
  expect("a response lost because it is too large to record",
         running_claim() +
             inputs{upstream_sends(ok + "Content-Length: 70000\r\n\r\n"),
                    upstream_sends(large)},
         ok + closing + "Content-Length: 70000\r\n\r\n" + large,
         {ev::answer_not_recorded, ev::completed}, caller_end::finished);
}

// Guards against malformed, ambiguous or oversized requests at the upstream,
// and against reading the bytes behind them as a request.
TEST(session, bad_requests_are_refused)
{
  const std::pair<std::string, const char*> cases[] = {
      {"GET / HTTP/1.1\r\nno colon\r\n\r\n", "400 Bad Request"},
      {"GET / HTTP/1.1\r\n\r\n", "400 Bad Request"},
      {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
       "400 Bad Request"},
      {post + "Toucanmill-Deadline-Ms: 1x\r\n\r\n", "400 Bad Request"},
      {post + "Transfer-Encoding: gzip\r\n\r\n" + get, "501 Not Implemented"},
      {post + "Upgrade: h2c\r\n\r\n", "501 Not Implemented"},
      {"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", "405 Method Not Allowed"},
      {"GET / HTTP/1.1\r\nX: " + large, "431 Request Header Fields Too Large"},
      {keyed + "Content-Length: 70000\r\n\r\n", "413 Payload Too Large"},
      {keyed + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + large,
       "413 Payload Too Large"},
  };
  for (const auto& [request, status] : cases)
    expect(status, {caller_bytes{request}}, refusal(status, "not-run", closing),
           {std::string(status) == "413 Payload Too Large"
                ? ev::refused_body_too_large
                : ev::refused_malformed},
           caller_end::finished, 0);
}

// Guards against a request that fails because one reply was lost, and against a
// claim that is kept after the request failed.
TEST(session, lost_claim_decision_is_asked_again)
{
  const inputs lost{claim_decided{claim_status::unavailable, {}},
                    timer_expired{}};
  expect("lost claim decisions",
         inputs{caller_bytes{keyed_post}, slot_granted{}} + lost + lost + lost,
         refusal("503 Service Unavailable", "not-run",
                 "Retry-After: 1\r\n" + closing),
         {ev::refused_claim_unavailable}, caller_end::finished, 0, 1);
}

// Guards against forwarding hop-by-hop fields and the framing of the caller,
// and against a deadline that is not reduced by the time already spent.
TEST(session, request_is_rewritten_for_the_upstream)
{
  retry_budget budget{0.1};
  session_driver driver{make_http_session({}, budget)};
  driver.handle(caller_bytes{
      keyed + "X-Hop: 1\r\nConnection: X-Hop\r\nToucanmill-Deadline-Ms: 500\r\n"
              "Transfer-Encoding: chunked\r\n\r\n4\r\nm=12\r\n0\r\n\r\n"});
  driver.now += 200ms;
  driver.handle_all({slot_granted{}, claim_decided{claim_status::granted, {}},
                     upstream_connected{}});
  CHECK_TRUE(driver.to_upstream ==
             keyed + "Content-Length: 4\r\nToucanmill-Deadline-Ms: 300\r\n" +
                 closing + "\r\nm=12");
}

// Guards against equal digests of requests that differ in one part.
TEST(session, digest_covers_method_target_and_body)
{
  std::set<request_digest> digests;
  for (const std::string start : {"POST /a", "POST /b", "PATCH /a"})
    for (const std::string body : {"x", "y"})
    {
      retry_budget budget{0.1};
      session_driver driver{make_http_session({}, budget)};
      driver.handle_all({caller_bytes{start +
                                      " HTTP/1.1\r\nHost: a\r\n"
                                      "Idempotency-Key: k\r\n"
                                      "Content-Length: 1\r\n\r\n" +
                                      body},
                         slot_granted{}});
      digests.insert(driver.claims.at(0).digest);
    }
  CHECK_EQUAL(6U, digests.size());
}

// Guards against retries that multiply the load of a failing upstream.
TEST(session, retries_need_budget)
{
  retry_budget budget{0.1};
  while (budget.take())
    continue;
  session_driver driver{make_http_session({}, budget)};
  driver.handle_all(running(get) + inputs{upstream_disconnected{}});
  CHECK_TRUE(driver.to_caller == bad_gateway);
}

// Guards against bytes lost while the upstream connection opens, and against a
// half-close that ends both directions.
TEST(session, stream_keeps_early_bytes_and_half_closes)
{
  session_driver driver{make_stream_session()};
  driver.handle_all({caller_bytes{}, caller_bytes{"ab"}, caller_finished{}});
  CHECK_TRUE(driver.to_upstream.empty());
  driver.handle_all({upstream_connected{}, upstream_bytes{"late"}});
  CHECK_TRUE(driver.to_upstream == "ab" && driver.upstream_half_closed);
  CHECK_TRUE(driver.to_caller == "late" && driver.session->busy());
  driver.handle(upstream_finished{});
  CHECK_TRUE(driver.end == caller_end::finished && !driver.session->busy());
}

// Guards against a failure that looks like an orderly close, and against an
// upstream connection that outlives its caller.
TEST(session, stream_failures_reach_the_other_side)
{
  session_driver failed{make_stream_session()};
  failed.handle_all(
      {caller_bytes{}, upstream_connected{}, upstream_disconnected{}});
  CHECK_TRUE(failed.end == caller_end::reset);
  session_driver left{make_stream_session()};
  left.handle_all({caller_bytes{}, caller_disconnected{}});
  CHECK_EQUAL(0, left.open_upstreams);
}

// Guards against new work for a leaving upstream over connections that were
// open before its drain.
TEST(session, drain_refuses_requests_after_its_grace)
{
  retry_budget budget{0.1};
  session_driver driver(make_http_session({}, budget));
  driver.handle_all(running(get) +
                    inputs{upstream_sends(answer), drain_started{}});
  driver.now += 3s;
  driver.handle(caller_bytes{get});
  CHECK_TRUE(driver.to_caller ==
             answer + refusal("503 Service Unavailable", "not-run",
                              "Retry-After: 1\r\n" + closing));
  CHECK_TRUE(driver.events ==
             std::vector<ev>({ev::completed, ev::refused_draining}));
  CHECK_TRUE(driver.end == caller_end::finished);
  CHECK_EQUAL(1, driver.connects);
}
