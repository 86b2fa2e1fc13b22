#include <toucanmill/observe/line_writer.hpp>

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>

using namespace toucanmill;

TEST_GROUP(line_writer)
{
  std::array<int, 2> pipe_ends{};

  void setup() override
  {
    CHECK_EQUAL(0, pipe(pipe_ends.data()));
  }

  void teardown() override
  {
    close(pipe_ends[0]);
    close(pipe_ends[1]);
  }

  std::string read_all()
  {
    fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    std::string text(1 << 20, '\0');
    const auto size = read(pipe_ends[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }
};

TEST(line_writer, writes_every_line_before_it_stops)
{
  line_writer writer(pipe_ends[1], 10);
  writer.write("one");
  writer.write("two");
  writer.stop();
  STRCMP_EQUAL("one\ntwo\n", read_all().c_str());
  CHECK_EQUAL(0U, writer.dropped());
}

// Guards against a packet thread that waits for standard output: nobody reads
// the pipe here, so a blocking writer would hang the test.
TEST(line_writer, blocked_output_costs_only_counted_lines)
{
  const std::string line(1000, 'x');
  line_writer writer(pipe_ends[1], 100);
  for (int i = 0; i < 10000; ++i)
    writer.write(line);
  CHECK_TRUE(writer.dropped() > 0);
  writer.stop();
}
