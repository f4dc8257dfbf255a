#include "worker.h"

#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>

#include "world.h"

namespace review {

namespace {

struct Options
{
  std::string m_id;
  std::string m_address;
  std::map<std::string, std::string> m_values;

  bool Has(const std::string& aName) const { return m_values.contains(aName); }
  int Number(const std::string& aName, int aDefault) const
  {
    const auto found = m_values.find(aName);
    return found == m_values.end() ? aDefault
                                   : std::atoi(found->second.c_str());
  }
};

std::atomic<int> g_stamps{ 0 };

/// The number of events is the second figure of Token-Counts.
int
CountEvents(const Message& aRequest)
{
  const std::string counts = aRequest.Header("Token-Counts");
  const size_t comma = counts.find(',');
  return comma == std::string::npos ? 0 : std::atoi(counts.c_str() + comma + 1);
}

std::vector<std::pair<std::string, std::string>>
MakeHead(const Options& aOptions, const std::string& aRequestId)
{
  return { { "Request-Id", aRequestId },
           { "Server-Stamp",
             aOptions.m_id + "." + std::to_string(++g_stamps) } };
}

/// Sends the parts of the stream. Returns false if the requester has left.
bool
SendEvents(Channel& aChannel,
           const Options& aOptions,
           const std::string& aSeed,
           int aFirst,
           int aLast,
           bool aIsChunked)
{
  const auto send = [&](const std::string& aBytes) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", aBytes.size());
    return aChannel.Send(aIsChunked ? size + aBytes + "\r\n" : aBytes);
  };
  SleepMs(aFirst <= aLast ? aOptions.Number("first", 100) : 0);
  for (int event = aFirst; event <= aLast; ++event) {
    const std::string text =
      "id: " + std::to_string(event) +
      "\ndata: " + EventData(aSeed, event, aOptions.Number("bytes", 12)) +
      "\n\n";
    const int gap = aOptions.Number("gap", 40);
    const size_t half = aOptions.Has("halves") ? text.size() / 2 : 0;
    bool isSent = true;
    if (half > 0) {
      isSent = send(text.substr(0, half));
      SleepMs(gap / 2);
    }
    isSent = isSent && send(text.substr(half));
    if (!isSent || aChannel.IsClosedByPeer()) {
      Record("worker " + aOptions.m_id + " left-by-requester event " +
             std::to_string(event) + " of " + aSeed);
      return false;
    }
    SleepMs(half > 0 ? gap - gap / 2 : gap);
  }
  return !aIsChunked || aChannel.Send("0\r\n\r\n");
}

bool
ServeStream(Channel& aChannel, const Options& aOptions, const Message& aRequest)
{
  const std::string id = aRequest.Header("Request-Id");
  // A stream that goes on has the text of the one that it goes on with.
  const std::string seed = aRequest.Header("Prompt-Prefix");
  const int resumed = std::atoi(aRequest.Header("Last-Event-Id").c_str());
  const int count = CountEvents(aRequest);
  const bool isChunked = !aOptions.Has("unframed");
  Record("worker " + aOptions.m_id + " runs " + id + " from event " +
         std::to_string(resumed + 1) + " of " + std::to_string(count));
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (const auto& [name, value] : MakeHead(aOptions, id)) {
    head += name + ": " + value + "\r\n";
  }
  head += "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n";
  head += isChunked ? "Transfer-Encoding: chunked\r\n\r\n"
                    : "Connection: close\r\n\r\n";
  const bool isDone =
    aChannel.Send(head) &&
    SendEvents(aChannel, aOptions, seed, resumed + 1, count, isChunked);
  if (isDone) {
    Record("worker " + aOptions.m_id + " ends " + id + " after event " +
           std::to_string(count));
  }
  return isDone && isChunked;
}

bool
ServeRequest(Channel& aChannel,
             const Options& aOptions,
             const Message& aRequest)
{
  const std::string id = aRequest.Header("Request-Id");
  const std::string expected = aRequest.Header("Expect-Instance");
  if (!expected.empty() && expected != aOptions.m_id) {
    return aChannel.Send(MakeResponse(
      421, { { "Request-Id", id }, { "Instance-Id", aOptions.m_id } }, ""));
  }
  if (aRequest.Target() == "/heatherdeal/report") {
    return aChannel.Send(MakeResponse(
      200,
      { { "Content-Type", "application/json" } },
      R"({"stage":"both","models":[{"name":"model-1","version":1,"adapters":[]}],)"
      R"("busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,)"
      R"("kvTotal":100000,"handles":0})"));
  }
  if (aRequest.Target() == "/health") {
    return aChannel.Send(
      MakeResponse(200, { { "Instance-Id", aOptions.m_id } }, ""));
  }
  if (id.empty()) {
    return aChannel.Send(MakeResponse(400, { { "Not-Run", "1" } }, ""));
  }
  if (!aOptions.Has("plain")) {
    return ServeStream(aChannel, aOptions, aRequest);
  }
  Record("worker " + aOptions.m_id + " runs " + id + " " +
         aRequest.m_startLine);
  SleepMs(aOptions.Number("work", 20));
  return aChannel.Send(MakeResponse(200, MakeHead(aOptions, id), "done " + id));
}

} // namespace

std::string
EventData(const std::string& aSeed, int aEvent, int aBytes)
{
  // A text that ends at once: its only event holds no characters.
  if (aSeed.rfind("empty", 0) == 0) {
    return "";
  }
  std::string data = aSeed + "-" + std::to_string(aEvent) + "-";
  while (static_cast<int>(data.size()) < aBytes) {
    data += static_cast<char>('a' + (data.size() + aEvent) % 26);
  }
  return data;
}

int
RunWorker(int aArgc, char** aArgv)
{
  Options options;
  options.m_id = aArgv[2];
  options.m_address = aArgv[3];
  SetRecordFile(aArgv[4]);
  for (int i = 5; i < aArgc; ++i) {
    const std::string option = aArgv[i];
    const size_t equals = option.find('=');
    options.m_values[option.substr(0, equals)] =
      equals == std::string::npos ? "" : option.substr(equals + 1);
  }
  std::signal(SIGPIPE, SIG_IGN);
  Listen(options.m_address, kWorkerPort, [options](Channel& aChannel) {
    constexpr int64_t kIdleMs = 20'000;
    for (;;) {
      const Message request = aChannel.Read(NowMs() + kIdleMs);
      if (!request.m_isComplete || !ServeRequest(aChannel, options, request)) {
        return;
      }
    }
  });
  for (;;) {
    SleepMs(1000);
  }
}

} // namespace review
