#include "forwarding/internal/generation.h"

#include "catch2/catch.hpp"

#include "kernel/json.h"

namespace heatherdeal::forwarding {

TEST_CASE("only whole lines are passed on, wherever the parts are cut")
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

TEST_CASE("the rest is asked for behind what the caller has")
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
  // Nothing of the line that was cut is left.
  CHECK(generation.Accept("{\"end\":true}\n") == "{\"end\":true}\n");
}

TEST_CASE("a request without tokens held is asked as it was")
{
  const Generation generation;
  CHECK(generation.RestOf("any text") == "any text");
}

} // namespace heatherdeal::forwarding
