#pragma once

#include <string>

#include "world.h"

namespace review {

/// The route of streams that may be resumed, at kEngineService.
inline constexpr std::string_view kStreamPath = "/streams/";
inline constexpr std::string_view kHostName = "h.example";

/// Returns a configuration with a route of resumable streams.
json::value
MakeStreamConfiguration();

/// Returns the fields of a worker's entry that StartWorker does not set.
json::value
MakeEngineEntry(const std::string& aZone, int aSlots);

struct StreamRequest
{
  std::string m_id;
  std::string m_seed;
  int m_events = 0;
  int m_lastEvent = 0;
  /// The attempt that brought the first event; "" for a new stream.
  std::string m_resumes;
};

/// Returns the bytes of a request for a stream.
std::string
MakeStreamRequest(const StreamRequest& aRequest);

/// What a requester has received of a stream.
struct ReceivedStream
{
  int m_status = 0;
  /// True if the response has ended as one that is complete.
  bool m_isComplete = false;
  /// The events that were received whole and in order.
  int m_lastEvent = 0;
  /// True if the bytes end within an event.
  bool m_endsInEvent = false;
  std::string m_retryAfter;
};

/// Reads the response to a request for a stream.
ReceivedStream
ReadStream(Channel& aChannel, int aAfterEvent, int64_t aDeadlineMs);

} // namespace review
