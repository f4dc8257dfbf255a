#include "deployment.h"

#include <cstdlib>

namespace review {

json::value
MakeStreamConfiguration()
{
  return {
    { "version", 7 },
    { "routes",
      json::array{ { { "name", "streams" },
                     { "host", kHostName },
                     { "pathPrefix", kStreamPath },
                     { "kind", "stream" },
                     { "resumable", true },
                     { "timeoutMs", 10000 },
                     { "sloMs", 1000 },
                     { "priority", 1 },
                     { "service", "engines" },
                     { "maxAttempts", 3 } } } },
    { "services",
      json::array{
        { { "name", "engines" },
          { "healthPath", "/health" },
          { "maxConns", 140 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine",
            { { "slots", 8 },
              { "kvCapacity", 100000 },
              { "models", json::array{ { { "name", "model-1" } } } } } } } } },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 33554432 },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } }
  };
}

json::value
MakeEngineEntry(const std::string& aZone, int aSlots)
{
  return { { "zone", aZone },
           { "version", "v1" },
           { "slots", aSlots },
           { "stage", "both" },
           { "models",
             json::array{ { { "name", "model-1" },
                            { "version", 1 },
                            { "adapters", json::array() } } } } };
}

std::string
MakeStreamRequest(const StreamRequest& aRequest)
{
  std::string request = "POST " + std::string(kStreamPath) + aRequest.m_seed +
                        " HTTP/1.1\r\nHost: " + std::string(kHostName) +
                        "\r\nRequest-Id: " + aRequest.m_id +
                        "\r\nDeadline-Ms: 9000\r\nModel: model-1\r\n"
                        "Token-Counts: 64," +
                        std::to_string(aRequest.m_events) +
                        "\r\nPrompt-Prefix: " + aRequest.m_seed + ":64\r\n";
  if (aRequest.m_lastEvent > 0) {
    request += "Last-Event-Id: " + std::to_string(aRequest.m_lastEvent) +
               "\r\nResumes: " + aRequest.m_resumes + "\r\n";
  }
  return request + "Content-Length: 6\r\n\r\nprompt";
}

ReceivedStream
ReadStream(Channel& aChannel, int aAfterEvent, int64_t aDeadlineMs)
{
  const Message message = aChannel.Read(aDeadlineMs);
  ReceivedStream stream;
  stream.m_status = message.Status();
  stream.m_isComplete = message.m_isComplete;
  stream.m_retryAfter = message.Header("Retry-After");
  stream.m_lastEvent = aAfterEvent;
  if (stream.m_status != 200) {
    return stream;
  }
  size_t at = 0;
  for (;;) {
    const size_t end = message.m_body.find("\n\n", at);
    if (end == std::string::npos) {
      stream.m_endsInEvent = at < message.m_body.size();
      return stream;
    }
    const std::string event = message.m_body.substr(at, end - at);
    const size_t id = event.find("id: ");
    const int number =
      id == std::string::npos ? 0 : std::atoi(event.c_str() + id + 4);
    if (number != stream.m_lastEvent + 1) {
      stream.m_endsInEvent = true;
      return stream;
    }
    stream.m_lastEvent = number;
    at = end + 2;
  }
}

} // namespace review
