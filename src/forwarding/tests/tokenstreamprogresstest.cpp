#include "forwarding/internal/tokenstreamprogress.h"

#include "catch2/catch.hpp"

#include "kernel/json.h"

namespace heatherdeal::forwarding {

TEST_CASE("only complete lines are relayed, however the stream is split")
{
  const std::string stream = "{\"tokens\":2,\"text\":\"a b \"}\n"
                             "{\"tokens\":1,\"text\":\"c \"}\n"
                             "{\"end\":true,\"tokens\":3}\n";
  for (size_t splitAt = 0; splitAt <= stream.size(); ++splitAt) {
    TokenStreamProgress progress;
    std::string relayed(progress.TakeCompleteLines(stream.substr(0, splitAt)));
    CHECK((relayed.empty() || relayed.back() == '\n'));
    relayed += progress.TakeCompleteLines(stream.substr(splitAt));
    CHECK(relayed == stream);
    CHECK(progress.HasEnded());
    CHECK(progress.TokenCount() == 3);
  }
}

TEST_CASE("the resume request contains the tokens that the caller has received")
{
  TokenStreamProgress progress;
  progress.TakeCompleteLines(
    "{\"tokens\":2,\"text\":\"a b \"}\n{\"tokens\":9,\"te");
  progress.DiscardPartialLine();
  const auto body = kernel::ParseJson(
    progress.MakeResumeBody(R"({"prompt":"p","seed":7})"), "body");
  REQUIRE(body.ok());
  CHECK(body->at("prompt").as_string() == "p");
  CHECK(body->at("resume_tokens").as_int64() == 2);
  CHECK(body->at("resume_text").as_string() == "a b ");
  // The discarded partial line does not appear in later output.
  CHECK(progress.TakeCompleteLines("{\"end\":true}\n") == "{\"end\":true}\n");
}

TEST_CASE("a request body is unchanged if no tokens were received")
{
  const TokenStreamProgress progress;
  CHECK(progress.MakeResumeBody("any text") == "any text");
}

} // namespace heatherdeal::forwarding
