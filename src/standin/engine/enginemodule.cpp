#include <algorithm>
#include <map>
#include <mutex>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/json/serialize.hpp"

#include "http/httpmodule.h"
#include "kernel/awaitablevalue.h"
#include "kernel/json.h"
#include "kernel/plugin.h"
#include "kernel/sleep.h"
#include "standin/engine/generation.h"

// Stand-in for a model engine: it streams tokens, loads weight versions and
// reports its load.

namespace heatherdeal::standin {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kModuleName = "engine";
constexpr uint64_t kFirstVersion = 1;

struct EngineSettings
{
  bool m_enabled = false;
  uint32_t m_slotCount = 8;
  core::Duration m_chunkInterval = std::chrono::milliseconds(5);
  uint32_t m_tokensPerChunk = 4;
  core::Duration m_loadDuration = std::chrono::milliseconds(100);
  bool m_fencingCheckEnabled = true;
  LengthModel m_lengthModel;
};

/// Priorities of requests, highest first.
enum class Priority : uint8_t
{
  Live,
  TrainingUrgent,
  Training,
};

/// A request that waits for a free slot.
struct SlotWaiter
{
  Priority m_priority = Priority::Training;
  std::shared_ptr<kernel::AwaitableValue<bool>> m_slotGranted;
};

/// The body of POST /v1/generate.
struct GenerateMessage
{
  std::string m_prompt;
  uint32_t m_resumeTokens = 0;
  uint32_t m_maxTokens = 0;
  uint64_t m_seed = 0;
  Priority m_priority = Priority::Live;
};

/// The body of POST /v1/orders: the weight version to load and the fencing
/// token of the controller.
struct OrderMessage
{
  uint64_t m_version = 0;
  uint64_t m_fencingToken = 0;
};

class Engine : public std::enable_shared_from_this<Engine>
{
public:
  Engine(kernel::Context& aContext, EngineSettings aSettings)
    : m_context(aContext)
    , m_settings(aSettings)
  {
  }

  void AddRoutes();

private:
  asio::awaitable<void> HandleGenerate(http::Exchange& aExchange);
  asio::awaitable<void> StreamTokens(http::Exchange& aExchange,
                                     const GenerateMessage& aMessage);
  /// Loads the ordered weights. Refuses an order whose fencing token is lower
  /// than one seen before, if the settings say so.
  asio::awaitable<void> HandleOrder(http::Exchange& aExchange);
  asio::awaitable<void> HandleLoad(http::Exchange& aExchange);
  asio::awaitable<void> HandleSeen(http::Exchange& aExchange);
  /// Breaks off all streams and goes back to the first weight version.
  asio::awaitable<void> HandleCrash(http::Exchange& aExchange);
  /// Waits for a free slot; waiting requests get one by priority.
  asio::awaitable<void> AcquireSlot(Priority aPriority, size_t aLoopIndex);
  /// Hands the slot to the waiting request of highest priority, or frees it.
  void ReleaseSlot();
  void RecordTokens(uint64_t aVersion, uint32_t aTokens);

  kernel::Context& m_context;
  EngineSettings m_settings;
  std::mutex m_mutex;
  uint32_t m_usedSlots = 0;
  std::vector<SlotWaiter> m_slotWaiters;
  std::atomic<uint64_t> m_loadedVersion{ kFirstVersion };
  uint64_t m_highestFencingToken = 0;
  /// Increases with each simulated crash. A stream that started under an
  /// earlier incarnation breaks off.
  std::atomic<uint64_t> m_incarnation{ 0 };
  std::map<uint64_t, uint64_t> m_tokensByVersion;
};

GenerateMessage
ParseGenerateMessage(kernel::SettingsReader& aReader)
{
  static constexpr std::string_view kPriorities[] = { "live",
                                                      "training-urgent",
                                                      "training" };
  const kernel::Range count{ 0, UINT32_MAX };
  GenerateMessage message;
  message.m_prompt = aReader.Text("prompt");
  message.m_resumeTokens =
    static_cast<uint32_t>(aReader.IntegerOr("resume_tokens", count, 0));
  message.m_maxTokens =
    static_cast<uint32_t>(aReader.IntegerOr("max_tokens", count, 4096));
  message.m_seed =
    static_cast<uint64_t>(aReader.IntegerOr("seed", { 0, INT64_MAX }, 0));
  message.m_priority =
    static_cast<Priority>(aReader.ChoiceOr("priority", kPriorities, 0));
  aReader.TextOr("resume_text", "");
  return message;
}

OrderMessage
ParseOrderMessage(kernel::SettingsReader& aReader)
{
  static constexpr std::string_view kKinds[] = { "load" };
  const kernel::Range any{ 0, INT64_MAX };
  aReader.ChoiceOr("kind", kKinds, 0);
  return { static_cast<uint64_t>(aReader.Integer("version", any)),
           static_cast<uint64_t>(aReader.Integer("fence", any)) };
}

asio::awaitable<void>
Engine::AcquireSlot(Priority aPriority, size_t aLoopIndex)
{
  std::shared_ptr<kernel::AwaitableValue<bool>> slotGranted;
  {
    const std::scoped_lock lock(m_mutex);
    if (m_usedSlots < m_settings.m_slotCount) {
      m_usedSlots += 1;
      co_return;
    }
    slotGranted = std::make_shared<kernel::AwaitableValue<bool>>(
      m_context.Traffic().Loop(aLoopIndex));
    m_slotWaiters.push_back({ aPriority, slotGranted });
  }
  co_await slotGranted->Wait();
}

void
Engine::ReleaseSlot()
{
  const std::scoped_lock lock(m_mutex);
  const auto nextWaiter =
    std::ranges::min_element(m_slotWaiters, {}, &SlotWaiter::m_priority);
  if (nextWaiter == m_slotWaiters.end()) {
    m_usedSlots -= 1;
    return;
  }
  nextWaiter->m_slotGranted->Set(true);
  m_slotWaiters.erase(nextWaiter);
}

void
Engine::RecordTokens(uint64_t aVersion, uint32_t aTokens)
{
  const std::scoped_lock lock(m_mutex);
  m_tokensByVersion[aVersion] += aTokens;
}

asio::awaitable<void>
Engine::HandleGenerate(http::Exchange& aExchange)
{
  const absl::StatusOr<GenerateMessage> message =
    kernel::ParseMessage<GenerateMessage>(
      aExchange.ReceivedRequest().m_body, "generate", ParseGenerateMessage);
  if (!message.ok()) {
    http::Response refusal =
      http::MakeFailureResponse(http::FailureOf(message.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(refusal));
    co_return;
  }
  co_await AcquireSlot(message->m_priority, aExchange.LoopIndex());
  co_await StreamTokens(aExchange, *message);
  ReleaseSlot();
}

asio::awaitable<void>
Engine::StreamTokens(http::Exchange& aExchange, const GenerateMessage& aMessage)
{
  const uint32_t tokenCount = ResponseLength(m_settings.m_lengthModel,
                                             aMessage.m_prompt,
                                             aMessage.m_seed,
                                             aMessage.m_maxTokens);
  const uint64_t incarnation = m_incarnation.load();
  http::ResponseHead head;
  absl::Status sendStatus = co_await aExchange.StartStream(std::move(head));
  uint32_t offset = aMessage.m_resumeTokens;
  while (sendStatus.ok() && offset < tokenCount) {
    co_await kernel::SleepUntil(kernel::Now() + m_settings.m_chunkInterval);
    if (incarnation != m_incarnation.load()) {
      // The server closes the connection of a response that does not end.
      co_return;
    }
    const uint32_t tokens =
      std::min(m_settings.m_tokensPerChunk, tokenCount - offset);
    const uint64_t version = m_loadedVersion.load();
    std::string text;
    for (uint32_t i = 0; i < tokens; ++i) {
      text += TokenText(aMessage.m_prompt, aMessage.m_seed, offset + i);
    }
    const boost::json::value line{ { "offset", offset },
                                   { "tokens", tokens },
                                   { "text", text },
                                   { "version", version } };
    const std::string bytes = boost::json::serialize(line) + "\n";
    sendStatus = co_await aExchange.Write(bytes);
    RecordTokens(version, tokens);
    offset += tokens;
  }
  if (sendStatus.ok()) {
    const boost::json::value end{ { "end", true }, { "tokens", offset } };
    const std::string bytes = boost::json::serialize(end) + "\n";
    (void)co_await aExchange.Write(bytes);
    (void)co_await aExchange.Finish();
  }
}

asio::awaitable<void>
Engine::HandleOrder(http::Exchange& aExchange)
{
  const absl::StatusOr<OrderMessage> order = kernel::ParseMessage<OrderMessage>(
    aExchange.ReceivedRequest().m_body, "order", ParseOrderMessage);
  http::Response response;
  if (!order.ok()) {
    response = http::MakeFailureResponse(http::FailureOf(order.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(response));
    co_return;
  }
  bool refused = false;
  {
    const std::scoped_lock lock(m_mutex);
    refused = m_settings.m_fencingCheckEnabled &&
              order->m_fencingToken < m_highestFencingToken;
    m_highestFencingToken =
      std::max(m_highestFencingToken, order->m_fencingToken);
  }
  if (refused) {
    response =
      http::MakeFailureResponse(core::FenceRejected{ m_highestFencingToken });
    co_await aExchange.RespondIgnoringErrors(std::move(response));
    co_return;
  }
  co_await kernel::SleepUntil(kernel::Now() + m_settings.m_loadDuration);
  m_loadedVersion.store(std::max(m_loadedVersion.load(), order->m_version));
  response.m_body = "{}";
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
Engine::HandleLoad(http::Exchange& aExchange)
{
  http::Response response;
  {
    const std::scoped_lock lock(m_mutex);
    response.m_body = boost::json::serialize(
      boost::json::value{ { "version", m_loadedVersion.load() },
                          { "running", m_usedSlots },
                          { "queued", m_slotWaiters.size() },
                          { "slots", m_settings.m_slotCount },
                          { "leaving", false } });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
Engine::HandleSeen(http::Exchange& aExchange)
{
  http::Response response;
  {
    const std::scoped_lock lock(m_mutex);
    boost::json::object tokens;
    for (const auto& [version, count] : m_tokensByVersion) {
      tokens[std::to_string(version)] = count;
    }
    response.m_body = boost::json::serialize(
      boost::json::value{ { "tokens_by_version", tokens } });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

asio::awaitable<void>
Engine::HandleCrash(http::Exchange& aExchange)
{
  m_incarnation.fetch_add(1);
  m_loadedVersion.store(kFirstVersion);
  http::Response response;
  co_await aExchange.RespondIgnoringErrors(std::move(response));
}

void
Engine::AddRoutes()
{
  const auto self = shared_from_this();
  const auto server = m_context.Get<http::Server>();
  server->AddRoute({ "POST", "/v1/generate", [self](http::Exchange& aExchange) {
                      return self->HandleGenerate(aExchange);
                    } });
  server->AddRoute({ "POST", "/v1/orders", [self](http::Exchange& aExchange) {
                      return self->HandleOrder(aExchange);
                    } });
  server->AddRoute({ "GET", "/v1/load", [self](http::Exchange& aExchange) {
                      return self->HandleLoad(aExchange);
                    } });
  server->AddRoute({ "POST", "/crash", [self](http::Exchange& aExchange) {
                      return self->HandleCrash(aExchange);
                    } });
  server->AddRoute({ "GET", "/seen", [self](http::Exchange& aExchange) {
                      return self->HandleSeen(aExchange);
                    } });
}

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  const kernel::Range milliseconds{ 0, 600'000 };
  EngineSettings settings;
  settings.m_enabled = aReader.FlagOr("enabled", false);
  settings.m_slotCount =
    static_cast<uint32_t>(aReader.IntegerOr("slots", { 1, 100'000 }, 8));
  settings.m_chunkInterval =
    aReader.MillisecondsOr("chunk_ms", milliseconds, settings.m_chunkInterval);
  settings.m_tokensPerChunk = static_cast<uint32_t>(
    aReader.IntegerOr("chunk_tokens", { 1, 4096 }, settings.m_tokensPerChunk));
  settings.m_loadDuration =
    aReader.MillisecondsOr("load_ms", milliseconds, settings.m_loadDuration);
  settings.m_fencingCheckEnabled = aReader.FlagOr("checks_fence", true);
  settings.m_lengthModel.m_medianTokens =
    aReader.NumberOr("median_tokens", 1.0, 1e6, 60.0);
  return settings;
}

absl::Status
Start(kernel::Context& aContext, const std::any& aSettings)
{
  const auto& settings = std::any_cast<const EngineSettings&>(aSettings);
  if (settings.m_enabled) {
    std::make_shared<Engine>(aContext, settings)->AddRoutes();
  }
  return absl::OkStatus();
}

constexpr std::string_view kDependencies[] = { http::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kDependencies,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::standin
