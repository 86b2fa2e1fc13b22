#include "report.hpp"

namespace toucanmill::cli
{

int fail(const error& why)
{
  std::cerr << "toucanmill: " << why.message << "\n";
  return exit_code_of(why.code);
}

int report_outcome(const change_outcome& outcome, const std::string& request_id,
                   bool json)
{
  if (json)
    std::cout << nlohmann::json{{"accepted", outcome.accepted},
                                {"requestId", request_id},
                                {"version", outcome.version},
                                {"index", outcome.index},
                                {"message", outcome.message}}
                     .dump(2)
              << "\n";
  else if (outcome.accepted)
    std::cout << "accepted: version " << outcome.version << ", index "
              << outcome.index << ", request id " << request_id << "\n";
  if (outcome.accepted)
    return done;
  std::cerr << "toucanmill: refused: " << outcome.message << " (request id "
            << request_id << ")\n";
  return exit_code_of(outcome.reason);
}

} // namespace toucanmill::cli
