#include <charconv>
#include <functional>
#include <map>

#include "core/failure.h"
#include "scenario/script.h"

namespace heatherdeal::scenario {

namespace {

using Words = std::span<const std::string_view>;
using namespace virtualworld;

std::vector<std::string_view>
SplitWords(std::string_view aLine)
{
  std::vector<std::string_view> words;
  while (true) {
    const size_t begin = aLine.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos) {
      return words;
    }
    aLine.remove_prefix(begin);
    const size_t end = aLine.find_first_of(" \t\r");
    words.push_back(aLine.substr(0, end));
    aLine.remove_prefix(words.back().size());
  }
}

template<typename Number>
bool
ParseNumber(std::string_view aText, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [parsedEnd, error] = std::from_chars(aText.data(), end, aNumber);
  return error == std::errc() && parsedEnd == end;
}

/// Parses a time in seconds or milliseconds, such as 2s, 2.5s and 300ms.
bool
ParseTime(std::string_view aText, core::Duration& aTime)
{
  double number = 0.0;
  double unit = 1.0;
  if (aText.ends_with("ms")) {
    unit = 0.001;
    aText.remove_suffix(2);
  } else if (aText.ends_with("s")) {
    aText.remove_suffix(1);
  } else {
    return false;
  }
  if (!ParseNumber(aText, number) || number < 0.0) {
    return false;
  }
  aTime = std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(number * unit));
  return true;
}

bool
ParseEngine(std::string_view aText, uint32_t& aEngine)
{
  constexpr std::string_view kPrefix = "engine-";
  return aText.starts_with(kPrefix) &&
         ParseNumber(aText.substr(kPrefix.size()), aEngine);
}

using FaultParser = bool (*)(Words, Fault&);

/// Parses "WORD engine-N for TIME".
template<typename T>
bool
ParseEngineDurationFault(Words aWords, Fault& aFault)
{
  T fault;
  core::Duration time{};
  if (aWords.size() != 4 || aWords[2] != "for" ||
      !ParseEngine(aWords[1], fault.m_engine) || !ParseTime(aWords[3], time)) {
    return false;
  }
  aFault = T{ fault.m_engine, time };
  return true;
}

/// Parses "WORD engine-N COUNT".
template<typename T>
bool
ParseEngineCountFault(Words aWords, Fault& aFault)
{
  uint32_t engine = 0;
  uint32_t count = 0;
  if (aWords.size() != 3 || !ParseEngine(aWords[1], engine) ||
      !ParseNumber(aWords[2], count)) {
    return false;
  }
  aFault = T{ engine, count };
  return true;
}

/// Parses "WORD for TIME" or "WORD owner for TIME".
template<typename T>
bool
ParseDurationFault(Words aWords, Fault& aFault)
{
  const bool hasOwner = aWords.size() > 1 && aWords[1] == "owner";
  const Words rest = aWords.subspan(hasOwner ? 2 : 1);
  core::Duration time{};
  if (rest.size() != 2 || rest[0] != "for" || !ParseTime(rest[1], time)) {
    return false;
  }
  aFault = T{ time };
  return true;
}

/// Parses "WORD COUNT".
template<typename T>
bool
ParseCountFault(Words aWords, Fault& aFault)
{
  uint32_t count = 0;
  if (aWords.size() != 2 || !ParseNumber(aWords[1], count)) {
    return false;
  }
  aFault = T{ count };
  return true;
}

/// Parses "resign owner".
bool
ParseResignFault(Words aWords, Fault& aFault)
{
  aFault = ResignOwner{};
  return aWords.size() == 2 && aWords[1] == "owner";
}

/// Parses "delay-answers TIME for TIME".
bool
ParseDelayFault(Words aWords, Fault& aFault)
{
  SlowPullResponses fault;
  if (aWords.size() != 4 || aWords[2] != "for" ||
      !ParseTime(aWords[1], fault.m_delay) ||
      !ParseTime(aWords[3], fault.m_duration)) {
    return false;
  }
  aFault = fault;
  return true;
}

bool
ParseFault(Words aWords, Fault& aFault)
{
  static const std::map<std::string_view, FaultParser> kFaultParsers{
    { "crash", ParseEngineDurationFault<CrashEngine> },
    { "silence", ParseEngineDurationFault<SilenceEngine> },
    { "slow", ParseEngineDurationFault<SlowEngine> },
    { "omit-versions", ParseEngineCountFault<OmitVersions> },
    { "fail-loads", ParseEngineCountFault<FailLoads> },
    { "kill", ParseDurationFault<KillOwner> },
    { "pause", ParseDurationFault<PauseOwner> },
    { "resign", ParseResignFault },
    { "store-down", ParseDurationFault<StoreDown> },
    { "lose-store-replies", ParseCountFault<DropStoreResponses> },
    { "lose-answers", ParseCountFault<DropPullResponses> },
    { "delay-answers", ParseDelayFault },
    { "scorer-down", ParseDurationFault<ScorerDown> },
    { "scorer-twice", ParseDurationFault<DuplicateScorerResponses> },
    { "restore-trainer", ParseCountFault<RestoreTrainer> },
  };
  if (aWords.empty()) {
    return false;
  }
  const auto parser = kFaultParsers.find(aWords.front());
  return parser != kFaultParsers.end() && parser->second(aWords, aFault);
}

bool
ParseFaultStep(Words aWords, StepAction& aAction)
{
  FaultStep step;
  if (aWords.size() < 3 || !ParseTime(aWords[1], step.m_fault.m_at) ||
      !ParseFault(aWords.subspan(2), step.m_fault.m_fault)) {
    return false;
  }
  aAction = step;
  return true;
}

bool
ParseExpectation(Words aWords, StepAction& aAction)
{
  const auto hasWord = [&aWords](size_t aIndex, std::string_view aWord) {
    return aIndex < aWords.size() && aWords[aIndex] == aWord;
  };
  const size_t count = aWords.size();
  if (hasWord(1, "batches") && hasWord(3, "by") && count == 5) {
    auto& parsed = aAction.emplace<ExpectBatches>();
    return ParseNumber(aWords[2], parsed.m_batches) &&
           ParseTime(aWords[4], parsed.m_deadline);
  }
  if (hasWord(1, "group") && hasWord(3, "held") && hasWord(4, "by") &&
      count == 6) {
    auto& parsed = aAction.emplace<ExpectGroupHeld>();
    return ParseNumber(aWords[2], parsed.m_group) &&
           ParseTime(aWords[5], parsed.m_deadline);
  }
  if (hasWord(1, "stuck") && hasWord(2, "below") && hasWord(4, "at") &&
      count == 6) {
    auto& parsed = aAction.emplace<ExpectStuck>();
    return ParseNumber(aWords[3], parsed.m_group) &&
           ParseTime(aWords[5], parsed.m_at);
  }
  if (hasWord(1, "delivery") && hasWord(2, "within") && hasWord(4, "after") &&
      count == 6) {
    auto& parsed = aAction.emplace<ExpectDelivery>();
    return ParseTime(aWords[3], parsed.m_within) &&
           ParseTime(aWords[5], parsed.m_after);
  }
  if (hasWord(1, "abandoned") && hasWord(3, "by") && count == 5) {
    auto& parsed = aAction.emplace<ExpectAbandoned>();
    return ParseNumber(aWords[2], parsed.m_groups) &&
           ParseTime(aWords[4], parsed.m_deadline);
  }
  if (hasWord(1, "promises") && hasWord(2, "at") && count == 4) {
    return ParseTime(aWords[3], aAction.emplace<ExpectNoViolations>().m_at);
  }
  return false;
}

bool
ParseLine(Words aWords, StepAction& aAction)
{
  if (aWords.front() == "set" && aWords.size() == 3) {
    aAction = SettingStep{ std::string(aWords[1]), std::string(aWords[2]) };
    return true;
  }
  if (aWords.front() == "at") {
    return ParseFaultStep(aWords, aAction);
  }
  return aWords.front() == "expect" && ParseExpectation(aWords, aAction);
}

} // namespace

absl::StatusOr<std::vector<Step>>
ParseScript(std::string_view aText)
{
  std::vector<Step> steps;
  size_t lineNumber = 0;
  while (!aText.empty()) {
    lineNumber += 1;
    const size_t end = aText.find('\n');
    const std::string_view line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    const std::vector<std::string_view> words = SplitWords(line);
    if (words.empty() || words.front().starts_with('#')) {
      continue;
    }
    Step step{ lineNumber, std::string(line), SettingStep{} };
    if (!ParseLine(words, step.m_action)) {
      return core::ToStatus(core::InvalidInput{
        "line " + std::to_string(lineNumber),
        "a valid set, at or expect step, found: " + step.m_text });
    }
    steps.push_back(std::move(step));
  }
  return steps;
}

} // namespace heatherdeal::scenario
