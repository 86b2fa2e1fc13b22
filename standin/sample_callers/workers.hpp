#ifndef TOUCANMILL_SAMPLE_CALLERS_WORKERS_HPP
#define TOUCANMILL_SAMPLE_CALLERS_WORKERS_HPP

#include <chrono>

#include "options.hpp"
#include "report.hpp"

namespace toucanmill::sample_callers
{

using deadline = std::chrono::steady_clock::time_point;

/// Repeats downloads on one connection until the end.
report run_downloads(const options& settings, std::size_t worker, deadline end);

/// Sends submissions with unique ids until the end. A submission whose answer
/// was lost, or that was answered 503 or 409, is sent again with the same key
/// on another connection.
report run_submissions(const options& settings, std::size_t worker,
                       deadline end);

/// Holds the feeds open until the end; a feed that broke is opened again.
report run_feeds(const options& settings, deadline end);

} // namespace toucanmill::sample_callers

#endif
