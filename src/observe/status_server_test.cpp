#include <toucanmill/observe/latency_histogram.hpp>
#include <toucanmill/observe/status_server.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

TEST_GROUP(status_server){};

// Guards against samples of one metric that end up in two families, which
// Prometheus refuses.
TEST(status_server, samples_of_one_name_form_one_family)
{
  const auto text = to_prometheus_text({
      {"toucanmill_drops_total", "Drops.", true, 2, {{"reason", "a"}}},
      {"toucanmill_flows", "Open flows.", false, 7, {}},
      {"toucanmill_drops_total", "Drops.", true, 3, {{"reason", "b"}}},
  });
  STRCMP_CONTAINS("# TYPE toucanmill_drops_total counter\n"
                  "toucanmill_drops_total{reason=\"a\"} 2\n"
                  "toucanmill_drops_total{reason=\"b\"} 3\n",
                  text.c_str());
  STRCMP_CONTAINS("# TYPE toucanmill_flows gauge\ntoucanmill_flows 7\n",
                  text.c_str());
}

// Guards against a second server that silently shares or steals a port.
TEST(status_server, bound_endpoint_is_an_error)
{
  const status_pages pages{[]
                           {
                             return std::vector<sample>{};
                           },
                           []
                           {
                             return health{};
                           },
                           []
                           {
                             return health{};
                           }};
  endpoint listen;
  result<std::unique_ptr<status_server>> first =
      error{error_code::io_failure, ""};
  for (std::uint16_t port = 43117; !first && port < 43217; ++port)
    first = status_server::start(listen = {{0x7F000001}, port}, pages);
  CHECK_TRUE(first.has_value());
  const auto second = status_server::start(listen, pages);
  CHECK_FALSE(second.has_value());
  CHECK_TRUE(second.error().code == error_code::io_failure);
}

// Guards against a histogram that Prometheus cannot read.
TEST(status_server, histogram_is_written_with_cumulative_buckets)
{
  latency_histogram answers("toucanmill_answer_seconds", "Time to answer.");
  answers.observe(std::chrono::milliseconds(3));
  answers.observe(std::chrono::seconds(60));
  const auto text = to_prometheus_text({answers.read()});
  const auto has = [&](const char* line)
  {
    return text.find(line) != std::string::npos;
  };
  CHECK_TRUE(has("# TYPE toucanmill_answer_seconds histogram\n"));
  CHECK_TRUE(has("toucanmill_answer_seconds_bucket{le=\"0.002\"} 0\n"));
  CHECK_TRUE(has("toucanmill_answer_seconds_bucket{le=\"0.005\"} 1\n"));
  CHECK_TRUE(has("toucanmill_answer_seconds_bucket{le=\"+Inf\"} 2\n"));
  CHECK_TRUE(has("toucanmill_answer_seconds_sum 60.003\n"));
}
