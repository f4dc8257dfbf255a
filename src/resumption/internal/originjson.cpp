#include "resumption/internal/originjson.h"

#include <algorithm>

#include "boost/json/serialize.hpp"

#include "kernel/controlthread.h"
#include "kernel/json.h"

namespace heatherdeal::resumption {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxStoredOrigins = 2000;

boost::json::value
ToValue(const StreamOrigin& aOrigin, core::Instant aNow, int64_t aWallNow)
{
  const auto timeLeft =
    std::chrono::duration_cast<milliseconds>(aOrigin.m_expiresAt - aNow);
  boost::json::object value{ { "stream", aOrigin.m_stream.m_value },
                             { "expires_at", aWallNow + timeLeft.count() } };
  if (aOrigin.m_software) {
    value["service"] = aOrigin.m_software->m_service.m_value;
    value["version"] = aOrigin.m_software->m_version.m_value;
  }
  return value;
}

StreamOrigin
ParseOrigin(kernel::SettingsReader& aReader,
            core::Instant aNow,
            int64_t aWallNow)
{
  StreamOrigin origin;
  origin.m_stream.m_value = aReader.AnyText("stream");
  if (aReader.OptionalValue("service") != nullptr) {
    origin.m_software = core::Software{ { aReader.AnyText("service") },
                                        { aReader.AnyText("version") } };
  }
  const int64_t expiresAt = aReader.Integer("expires_at", { 0, INT64_MAX });
  // A clock that differs from the writer's does not prolong the lifetime.
  const milliseconds timeLeft(expiresAt - aWallNow);
  origin.m_expiresAt =
    aNow + std::min<core::Duration>(kOriginLifetime,
                                    std::max(timeLeft, milliseconds::zero()));
  return origin;
}

} // namespace

std::string
ToJson(std::span<const StreamOrigin> aOrigins, core::Instant aNow)
{
  const int64_t wallNow = kernel::UnixMilliseconds();
  const size_t excess = aOrigins.size() > kMaxStoredOrigins
                          ? aOrigins.size() - kMaxStoredOrigins
                          : 0;
  boost::json::array streams;
  for (const StreamOrigin& origin : aOrigins.subspan(excess)) {
    streams.push_back(ToValue(origin, aNow, wallNow));
  }
  const boost::json::value object{ { "streams", std::move(streams) } };
  return boost::json::serialize(object);
}

absl::StatusOr<std::vector<StreamOrigin>>
ParseOrigins(std::string_view aText, core::Instant aNow)
{
  return kernel::ParseMessage<std::vector<StreamOrigin>>(
    aText, "stream origins", [&](kernel::SettingsReader& aReader) {
      const int64_t wallNow = kernel::UnixMilliseconds();
      std::vector<StreamOrigin> origins;
      aReader.ForEach(
        "streams",
        [&](const boost::json::value& aValue, std::string_view aPath) {
          kernel::SettingsReader element(aValue, aPath, aReader.Errors());
          origins.push_back(ParseOrigin(element, aNow, wallNow));
        });
      return origins;
    });
}

} // namespace heatherdeal::resumption
