#include "http_head_core.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace toucanmill::detail
{

namespace
{

using boost::beast::iequals;

/// Longer deadlines are clamped, which keeps time arithmetic in range.
constexpr std::chrono::hours max_deadline{24 * 7};

/// Hop-by-hop fields. `Expect` is among them because the agent answers it.
constexpr std::array hop_by_hop = {
    http::field::connection,       http::field::keep_alive,
    http::field::proxy_connection, http::field::te,
    http::field::expect,           http::field::upgrade};

boost::beast::string_view to_beast(std::string_view text)
{
  return {text.data(), text.size()};
}

void add_field(std::string& head, std::string_view name, std::string_view value)
{
  head.append(name).append(": ").append(value).append("\r\n");
}

template <class Fields>
std::vector<std::string> connection_options(const Fields& fields)
{
  std::vector<std::string> names;
  const auto range = fields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field)
    for (const auto name : http::token_list{field->value()})
      names.emplace_back(name);
  return names;
}

template <class Field>
bool is_connection_field(const Field& field,
                         const std::vector<std::string>& options)
{
  const auto same_name = [&field](const std::string& name)
  {
    return iequals(name, field.name_string());
  };
  return std::find(hop_by_hop.begin(), hop_by_hop.end(), field.name()) !=
             hop_by_hop.end() ||
         std::any_of(options.begin(), options.end(), same_name);
}

bool is_framing_field(http::field name)
{
  return name == http::field::content_length ||
         name == http::field::transfer_encoding || name == http::field::trailer;
}

/// Fields that only the agent may set. An upstream must not report an outcome
/// in its place.
bool is_agent_field(boost::beast::string_view name)
{
  return iequals(name, to_beast(deadline_field)) ||
         iequals(name, to_beast(outcome_field));
}

template <class Fields>
void add_end_to_end_fields(std::string& head, const Fields& fields,
                           bool with_framing)
{
  const auto options = connection_options(fields);
  for (const auto& field : fields)
  {
    const bool framing = is_framing_field(field.name());
    if (framing ? !with_framing : is_connection_field(field, options))
      continue;
    if (is_agent_field(field.name_string()))
      continue;
    add_field(head, std::string(field.name_string()),
              std::string(field.value()));
  }
}

std::string version_text(unsigned version)
{
  return version == 10 ? "HTTP/1.0" : "HTTP/1.1";
}

const char* to_string(request_outcome outcome)
{
  return outcome == request_outcome::not_run ? "not-run" : "unknown";
}

std::string to_seconds_text(duration value)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(value).count();
  return std::to_string(std::max<std::int64_t>(seconds, 1));
}

std::string to_milliseconds_text(duration value)
{
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
  return std::to_string(std::max<std::int64_t>(count, 0));
}

bool has_deadline_field(const request_head& head)
{
  return head.count(to_beast(deadline_field)) != 0;
}

/// True for transfer codings that Beast accepts but the agent does not relay:
/// the end of a request body is only defined for chunked.
bool has_unsupported_transfer_coding(const request_reader& request)
{
  const auto& head = request.head();
  const auto count = head.count(http::field::transfer_encoding);
  if (count == 0)
    return false;
  return count > 1 || head.version() < 11 ||
         !iequals(head[http::field::transfer_encoding], "chunked");
}

bool has_invalid_host(const request_head& head)
{
  const auto count = head.count(http::field::host);
  return count > 1 || (count == 0 && head.version() >= 11);
}

} // namespace

std::string to_bytes(const refusal& value)
{
  const auto reason =
      http::obsolete_reason(static_cast<http::status>(value.status));
  std::string response = "HTTP/1.1 " + std::to_string(value.status) + " " +
                         std::string(reason) + "\r\n";
  add_field(response, outcome_field, to_string(value.outcome));
  if (value.retry_after)
    add_field(response, "Retry-After", to_seconds_text(*value.retry_after));
  if (value.close)
    add_field(response, "Connection", "close");
  add_field(response, "Content-Length", "0");
  return response + "\r\n";
}

std::optional<unsigned> refused_status(const request_reader& request)
{
  const auto& head = request.head();
  if (head.method() == http::verb::connect)
    return 405;
  if (head.count(http::field::upgrade) != 0)
    return 501;
  if (has_unsupported_transfer_coding(request))
    return 501;
  if (has_invalid_host(head))
    return 400;
  if (has_deadline_field(head) && !deadline_of(head))
    return 400;
  return std::nullopt;
}

bool is_idempotent(const request_head& head)
{
  switch (head.method())
  {
  case http::verb::get:
  case http::verb::head:
  case http::verb::put:
  case http::verb::delete_:
  case http::verb::options:
  case http::verb::trace:
    return true;
  default:
    return false;
  }
}

std::optional<duration> deadline_of(const request_head& head)
{
  if (!has_deadline_field(head))
    return std::nullopt;
  const auto text = head[to_beast(deadline_field)];
  std::uint64_t milliseconds = 0;
  const auto* const end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, milliseconds);
  if (failure != std::errc{} || rest != end)
    return std::nullopt;
  const std::uint64_t limit = std::chrono::milliseconds(max_deadline).count();
  return std::chrono::milliseconds(std::min(milliseconds, limit));
}

request_digest digest_of(const request_head& head, std::string_view body)
{
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  const auto add = [&state](const auto& text)
  {
    const std::uint64_t size = text.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, text.data(), text.size());
  };
  add(head.method_string());
  add(head.target());
  add(body);
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits_digest(&state));
  request_digest digest;
  std::copy_n(canonical.digest, digest.size(), digest.begin());
  return digest;
}

std::string make_upstream_head(const request_head& head,
                               std::optional<duration> remaining,
                               std::optional<std::size_t> body_size)
{
  std::string text = std::string(head.method_string()) + " " +
                     std::string(head.target()) + " " +
                     version_text(head.version()) + "\r\n";
  add_end_to_end_fields(text, head, !body_size);
  if (body_size)
    add_field(text, "Content-Length", std::to_string(*body_size));
  if (remaining)
    add_field(text, deadline_field, to_milliseconds_text(*remaining));
  add_field(text, "Connection", "close");
  return text + "\r\n";
}

std::string make_caller_head(const response_head& head,
                             std::optional<std::size_t> body_size)
{
  std::string text = "HTTP/1.1 " + std::to_string(head.result_int()) + " " +
                     std::string(head.reason()) + "\r\n";
  add_end_to_end_fields(text, head, !body_size);
  if (body_size)
    add_field(text, "Content-Length", std::to_string(*body_size));
  return text + "\r\n";
}

std::string add_connection_close(std::string response)
{
  if (const auto end = response.find("\r\n"); end != std::string::npos)
    response.insert(end + 2, "Connection: close\r\n");
  return response;
}

} // namespace toucanmill::detail
