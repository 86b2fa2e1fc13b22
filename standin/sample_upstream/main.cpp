#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>

#include "connection.hpp"

namespace
{

namespace asio = boost::asio;
using namespace toucanmill::sample_upstream;

void accept_connections(asio::ip::tcp::acceptor& acceptor, server_state& state)
{
  acceptor.async_accept(
      [&acceptor, &state](boost::system::error_code error,
                          asio::ip::tcp::socket socket)
      {
        if (!error)
          std::make_shared<connection>(std::move(socket), state)->start();
        accept_connections(acceptor, state);
      });
}

} // namespace

int main(int argc, char** argv)
{
  CLI::App app("HTTP/1.1 server with feeds, downloads and submissions");
  std::string address = "127.0.0.1";
  std::uint16_t port = 9000;
  unsigned delay_ms = 0;
  app.add_option("--address", address, "IPv4 address to listen on");
  app.add_option("--port", port, "TCP port to listen on");
  app.add_option("--delay-ms", delay_ms,
                 "delay before the answer to a submission or download");
  CLI11_PARSE(app, argc, argv);

  try
  {
    asio::io_context context(1);
    server_state state;
    state.delay = std::chrono::milliseconds(delay_ms);
    asio::ip::tcp::acceptor acceptor(
        context, {asio::ip::make_address_v4(address), port});
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&context](boost::system::error_code, int)
        {
          context.stop();
        });
    accept_connections(acceptor, state);
    context.run();
  }
  catch (const std::exception& problem)
  {
    std::cerr << "sample_upstream: " << address << ":" << port << ": "
              << problem.what() << "\n";
    return 1;
  }
  return 0;
}
