#ifndef TOUCANMILL_SRC_LOG_FOLDER_LABEL_HPP
#define TOUCANMILL_SRC_LOG_FOLDER_LABEL_HPP

#include <string>

#include <toucanmill/base/format_version.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill::log_detail
{

/// Content of a data folder's replica id file. Builds that read only the first
/// format refuse a file with a second line, and so a folder that they can't
/// read.
struct folder_label
{
  replica_id replica;
  format_version format = first_format_version; ///< needed to read the folder
};

std::string to_text(const folder_label& label);

/// Errors: corrupt_data, also if this build does not read the format.
result<folder_label> parse_folder_label(const std::string& path,
                                        const std::string& content);

} // namespace toucanmill::log_detail

#endif
