#include "standin/engine/generation.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "xxhash.h"

namespace heatherdeal::standin {

namespace {

constexpr uint32_t kVocabularySize = 10'000;

uint64_t
HashPrompt(std::string_view aPrompt, uint64_t aSeed)
{
  return XXH64(aPrompt.data(), aPrompt.size(), aSeed);
}

} // namespace

uint32_t
ResponseLength(const LengthModel& aModel,
               std::string_view aPrompt,
               uint64_t aSeed,
               uint32_t aMaxTokens)
{
  std::mt19937_64 generator(HashPrompt(aPrompt, aSeed));
  std::lognormal_distribution<double> distribution(
    std::log(aModel.m_medianTokens), aModel.m_sigma);
  double tokenCount = distribution(generator);
  if (aModel.m_tailInterval > 0 && generator() % aModel.m_tailInterval == 0) {
    tokenCount *= aModel.m_tailFactor;
  }
  return std::clamp(static_cast<uint32_t>(tokenCount), 1U, aMaxTokens);
}

std::string
TokenText(std::string_view aPrompt, uint64_t aSeed, uint32_t aIndex)
{
  return "w" +
         std::to_string((HashPrompt(aPrompt, aSeed) + aIndex) %
                        kVocabularySize) +
         " ";
}

} // namespace heatherdeal::standin
