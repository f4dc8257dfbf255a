#include "forwarding/internal/tokenstreamprogress.h"

#include "catch2/catch.hpp"

#include "kernel/json.h"

namespace heatherdeal::forwarding {

TEST_CASE("only complete lines are relayed, however the stream is split")
{
  const std::string stream = "{\"tokens\":2,\"text\":\"a b \"}\n"
                             "{\"tokens\":1,\"text\":\"c \"}\n"
                             "{\"end\":true,\"tokens\":3}\n";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    Generation generation;
    std::string passed(generation.Accept(stream.substr(0, cut)));
    CHECK((passed.empty() || passed.back() == '\n'));
    passed += generation.Accept(stream.substr(cut));
    CHECK(passed == stream);
    CHECK(generation.HasEnded());
    CHECK(generation.Tokens() == 3);
  }
}

TEST_CASE("the resume request contains the tokens that the caller has received")
{
  Generation generation;
  generation.Accept("{\"tokens\":2,\"text\":\"a b \"}\n{\"tokens\":9,\"te");
  generation.Break();
  const auto body =
    kernel::ParseJson(generation.RestOf(R"({"prompt":"p","seed":7})"), "body");
  REQUIRE(body.ok());
  CHECK(body->at("prompt").as_string() == "p");
  CHECK(body->at("resume_tokens").as_int64() == 2);
  CHECK(body->at("resume_text").as_string() == "a b ");
  // The discarded partial line does not appear in later output.
  CHECK(generation.Accept("{\"end\":true}\n") == "{\"end\":true}\n");
}

TEST_CASE("a request body is unchanged if no tokens were received")
{
  const Generation generation;
  CHECK(generation.RestOf("any text") == "any text");
}

} // namespace heatherdeal::forwarding
