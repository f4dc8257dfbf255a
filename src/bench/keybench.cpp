#include "bench/keybench.h"

#include <algorithm>
#include <ctime>
#include <random>
#include <vector>

#include "boost/json/serialize.hpp"

#include "configuration/documentjson.h"
#include "customers/authenticator.h"
#include "kernel/counters.h"

namespace heatherdeal::bench {

namespace {

constexpr size_t kCustomerCounts[] = { 10, 100, 1000 };
constexpr size_t kKeysPerCustomer = 10;
constexpr size_t kLookUpsPerRound = 100'000;
// Short disturbances by other processes change the median of the rounds little.
constexpr size_t kRounds = 9;

using Headers = std::vector<http::Header>;

std::string
MakeKey(size_t aCustomer, size_t aKey)
{
  return "key-of-customer-" + std::to_string(aCustomer) + "-number-" +
         std::to_string(aKey);
}

configuration::Document
MakeDocument(size_t aCustomers)
{
  configuration::Document document;
  document.m_generation = 1;
  for (size_t i = 0; i < aCustomers; ++i) {
    configuration::Customer customer;
    customer.m_name.m_value = "customer" + std::to_string(i);
    for (size_t k = 0; k < kKeysPerCustomer; ++k) {
      customer.m_keys.push_back(MakeKey(i, k));
    }
    document.m_customers.push_back(std::move(customer));
  }
  return document;
}

/// Returns the headers of a request for each key of the customers with these
/// numbers, in random order. Numbers beyond those of the document give unknown
/// keys.
std::vector<Headers>
MakeRequests(size_t aFirst, size_t aCount)
{
  std::vector<Headers> requests;
  for (size_t i = aFirst; i < aFirst + aCount; ++i) {
    for (size_t k = 0; k < kKeysPerCustomer; ++k) {
      requests.push_back(
        { { "Host", "h" }, { "Authorization", "Bearer " + MakeKey(i, k) } });
    }
  }
  std::ranges::shuffle(requests, std::mt19937(1));
  return requests;
}

double
ProcessorNanoseconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

/// Returns the median time of a look-up in nanoseconds.
double
MeasureLookUps(const customers::Authenticator& aAuthenticator,
               const std::vector<Headers>& aRequests,
               size_t& aAllowed)
{
  std::vector<double> rounds;
  for (size_t round = 0; round < kRounds; ++round) {
    const double begin = ProcessorNanoseconds();
    for (size_t i = 0; i < kLookUpsPerRound; ++i) {
      const customers::Access access =
        aAuthenticator.Authenticate(aRequests[i % aRequests.size()], false);
      aAllowed +=
        std::holds_alternative<customers::CustomerAccess>(access) ? 1 : 0;
    }
    rounds.push_back((ProcessorNanoseconds() - begin) /
                     static_cast<double>(kLookUpsPerRound));
  }
  std::ranges::sort(rounds);
  return rounds[rounds.size() / 2];
}

} // namespace

std::string
RunKeyBench()
{
  std::string lines;
  for (const size_t customers : kCustomerCounts) {
    kernel::Counters counters;
    const auto active =
      std::make_shared<configuration::ActiveConfiguration>(counters);
    customers::Authenticator authenticator(active, nullptr, {});
    authenticator.Start();
    active->ApplyIfNewer(configuration::ToJson(MakeDocument(customers)));
    for (const bool isKnown : { true, false }) {
      const std::vector<Headers> requests =
        MakeRequests(isKnown ? 0 : customers, customers);
      size_t allowed = 0;
      const double nanoseconds =
        MeasureLookUps(authenticator, requests, allowed);
      lines += boost::json::serialize(
                 boost::json::value{ { "customers", customers },
                                     { "keys", customers * kKeysPerCustomer },
                                     { "known_key", isKnown },
                                     { "allowed", allowed },
                                     { "look_ups", kRounds * kLookUpsPerRound },
                                     { "ns_per_look_up", nanoseconds } }) +
               "\n";
    }
  }
  return lines;
}

} // namespace heatherdeal::bench
