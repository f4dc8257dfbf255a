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

// Stand-in for a model engine: streams tokens, loads versions, reports load.

namespace heatherdeal::standin {

namespace {

namespace asio = boost::asio;

constexpr std::string_view kModuleName = "engine";
constexpr uint64_t kFirstVersion = 1;

struct EngineSettings
{
  bool m_enabled = false;
  uint32_t m_slots = 8;
  core::Duration m_chunkTime = std::chrono::milliseconds(5);
  uint32_t m_chunkTokens = 4;
  core::Duration m_loadTime = std::chrono::milliseconds(100);
  bool m_checksFence = true;
  LengthModel m_lengths;
};

enum class Priority : uint8_t
{
  Live,
  TrainingUrgent,
  Training,
};

struct Waiter
{
  Priority m_priority = Priority::Training;
  std::shared_ptr<kernel::AwaitableValue<bool>> m_reply;
};

struct GenerateMessage
{
  std::string m_prompt;
  uint32_t m_resumeTokens = 0;
  uint32_t m_maxTokens = 0;
  uint64_t m_seed = 0;
  Priority m_priority = Priority::Live;
};

struct OrderMessage
{
  uint64_t m_version = 0;
  uint64_t m_fence = 0;
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
  asio::awaitable<void> Generate(http::Exchange& aExchange);
  asio::awaitable<void> Stream(http::Exchange& aExchange,
                               const GenerateMessage& aMessage);
  asio::awaitable<void> Order(http::Exchange& aExchange);
  asio::awaitable<void> Load(http::Exchange& aExchange);
  asio::awaitable<void> Seen(http::Exchange& aExchange);
  asio::awaitable<void> Crash(http::Exchange& aExchange);
  asio::awaitable<void> TakeSlot(Priority aPriority, size_t aLoopIndex);
  void GiveSlot();
  void Note(uint64_t aVersion, uint32_t aTokens);

  kernel::Context& m_context;
  EngineSettings m_settings;
  std::mutex m_mutex;
  uint32_t m_running = 0;
  std::vector<Waiter> m_waiters;
  std::atomic<uint64_t> m_version{ kFirstVersion };
  uint64_t m_fence = 0;
  /// Raised by each crash; streams of an earlier one break off.
  std::atomic<uint64_t> m_incarnation{ 0 };
  std::map<uint64_t, uint64_t> m_tokensByVersion;
};

GenerateMessage
ReadGenerate(kernel::SettingsReader& aReader)
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
ReadOrder(kernel::SettingsReader& aReader)
{
  static constexpr std::string_view kKinds[] = { "load" };
  const kernel::Range any{ 0, INT64_MAX };
  aReader.ChoiceOr("kind", kKinds, 0);
  return { static_cast<uint64_t>(aReader.Integer("version", any)),
           static_cast<uint64_t>(aReader.Integer("fence", any)) };
}

asio::awaitable<void>
Engine::TakeSlot(Priority aPriority, size_t aLoopIndex)
{
  std::shared_ptr<kernel::AwaitableValue<bool>> reply;
  {
    const std::scoped_lock lock(m_mutex);
    if (m_running < m_settings.m_slots) {
      m_running += 1;
      co_return;
    }
    reply = std::make_shared<kernel::AwaitableValue<bool>>(
      m_context.Traffic().Loop(aLoopIndex));
    m_waiters.push_back({ aPriority, reply });
  }
  co_await reply->Wait();
}

void
Engine::GiveSlot()
{
  const std::scoped_lock lock(m_mutex);
  const auto next =
    std::ranges::min_element(m_waiters, {}, &Waiter::m_priority);
  if (next == m_waiters.end()) {
    m_running -= 1;
    return;
  }
  next->m_reply->Set(true);
  m_waiters.erase(next);
}

void
Engine::Note(uint64_t aVersion, uint32_t aTokens)
{
  const std::scoped_lock lock(m_mutex);
  m_tokensByVersion[aVersion] += aTokens;
}

asio::awaitable<void>
Engine::Generate(http::Exchange& aExchange)
{
  const absl::StatusOr<GenerateMessage> message =
    kernel::ParseMessage<GenerateMessage>(
      aExchange.ReceivedRequest().m_body, "generate", ReadGenerate);
  if (!message.ok()) {
    http::Response refusal =
      http::MakeFailureResponse(http::FailureOf(message.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(refusal));
    co_return;
  }
  co_await TakeSlot(message->m_priority, aExchange.LoopIndex());
  co_await Stream(aExchange, *message);
  GiveSlot();
}

asio::awaitable<void>
Engine::Stream(http::Exchange& aExchange, const GenerateMessage& aMessage)
{
  const uint32_t length = LengthOf(m_settings.m_lengths,
                                   aMessage.m_prompt,
                                   aMessage.m_seed,
                                   aMessage.m_maxTokens);
  const uint64_t incarnation = m_incarnation.load();
  http::ResponseHead head;
  absl::Status sent = co_await aExchange.StartStream(std::move(head));
  uint32_t offset = aMessage.m_resumeTokens;
  while (sent.ok() && offset < length) {
    co_await kernel::SleepUntil(kernel::Now() + m_settings.m_chunkTime);
    if (incarnation != m_incarnation.load()) {
      // Begun and never ended: the connection is closed.
      co_return;
    }
    const uint32_t tokens = std::min(m_settings.m_chunkTokens, length - offset);
    const uint64_t version = m_version.load();
    std::string text;
    for (uint32_t i = 0; i < tokens; ++i) {
      text += TokenText(aMessage.m_prompt, aMessage.m_seed, offset + i);
    }
    const boost::json::value line{ { "offset", offset },
                                   { "tokens", tokens },
                                   { "text", text },
                                   { "version", version } };
    const std::string bytes = boost::json::serialize(line) + "\n";
    sent = co_await aExchange.Write(bytes);
    Note(version, tokens);
    offset += tokens;
  }
  if (sent.ok()) {
    const boost::json::value end{ { "end", true }, { "tokens", offset } };
    const std::string bytes = boost::json::serialize(end) + "\n";
    (void)co_await aExchange.Write(bytes);
    (void)co_await aExchange.Finish();
  }
}

asio::awaitable<void>
Engine::Order(http::Exchange& aExchange)
{
  const absl::StatusOr<OrderMessage> order = kernel::ParseMessage<OrderMessage>(
    aExchange.ReceivedRequest().m_body, "order", ReadOrder);
  http::Response answer;
  if (!order.ok()) {
    answer = http::MakeFailureResponse(http::FailureOf(order.status()));
    co_await aExchange.RespondIgnoringErrors(std::move(answer));
    co_return;
  }
  bool refused = false;
  {
    const std::scoped_lock lock(m_mutex);
    refused = m_settings.m_checksFence && order->m_fence < m_fence;
    m_fence = std::max(m_fence, order->m_fence);
  }
  if (refused) {
    answer = http::MakeFailureResponse(core::FenceRejected{ m_fence });
    co_await aExchange.RespondIgnoringErrors(std::move(answer));
    co_return;
  }
  co_await kernel::SleepUntil(kernel::Now() + m_settings.m_loadTime);
  m_version.store(std::max(m_version.load(), order->m_version));
  answer.m_body = "{}";
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

asio::awaitable<void>
Engine::Load(http::Exchange& aExchange)
{
  http::Response answer;
  {
    const std::scoped_lock lock(m_mutex);
    answer.m_body = boost::json::serialize(
      boost::json::value{ { "version", m_version.load() },
                          { "running", m_running },
                          { "queued", m_waiters.size() },
                          { "slots", m_settings.m_slots },
                          { "leaving", false } });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

asio::awaitable<void>
Engine::Seen(http::Exchange& aExchange)
{
  http::Response answer;
  {
    const std::scoped_lock lock(m_mutex);
    boost::json::object tokens;
    for (const auto& [version, count] : m_tokensByVersion) {
      tokens[std::to_string(version)] = count;
    }
    answer.m_body = boost::json::serialize(
      boost::json::value{ { "tokens_by_version", tokens } });
  }
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

asio::awaitable<void>
Engine::Crash(http::Exchange& aExchange)
{
  m_incarnation.fetch_add(1);
  m_version.store(kFirstVersion);
  http::Response answer;
  co_await aExchange.RespondIgnoringErrors(std::move(answer));
}

void
Engine::AddRoutes()
{
  const auto self = shared_from_this();
  const auto server = m_context.Get<http::Server>();
  server->AddRoute({ "POST", "/v1/generate", [self](http::Exchange& aExchange) {
                      return self->Generate(aExchange);
                    } });
  server->AddRoute({ "POST", "/v1/orders", [self](http::Exchange& aExchange) {
                      return self->Order(aExchange);
                    } });
  server->AddRoute({ "GET", "/v1/load", [self](http::Exchange& aExchange) {
                      return self->Load(aExchange);
                    } });
  server->AddRoute({ "POST", "/crash", [self](http::Exchange& aExchange) {
                      return self->Crash(aExchange);
                    } });
  server->AddRoute({ "GET", "/seen", [self](http::Exchange& aExchange) {
                      return self->Seen(aExchange);
                    } });
}

std::any
ParseSettings(kernel::SettingsReader& aReader)
{
  const kernel::Range milliseconds{ 0, 600'000 };
  EngineSettings settings;
  settings.m_enabled = aReader.FlagOr("enabled", false);
  settings.m_slots =
    static_cast<uint32_t>(aReader.IntegerOr("slots", { 1, 100'000 }, 8));
  settings.m_chunkTime =
    aReader.MillisecondsOr("chunk_ms", milliseconds, settings.m_chunkTime);
  settings.m_chunkTokens = static_cast<uint32_t>(
    aReader.IntegerOr("chunk_tokens", { 1, 4096 }, settings.m_chunkTokens));
  settings.m_loadTime =
    aReader.MillisecondsOr("load_ms", milliseconds, settings.m_loadTime);
  settings.m_checksFence = aReader.FlagOr("checks_fence", true);
  settings.m_lengths.m_medianTokens =
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

constexpr std::string_view kNeeds[] = { http::kModuleName };

const kernel::PluginRegistration kRegistration{ {
  .m_name = kModuleName,
  .m_dependencies = kNeeds,
  .m_parseSettings = ParseSettings,
  .m_start = Start,
  .m_drain = nullptr,
  .m_dump = nullptr,
} };

} // namespace

} // namespace heatherdeal::standin
