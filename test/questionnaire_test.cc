#define BOOST_TEST_MODULE questionnaire
#include "pimentospar/questionnaire.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace pimentospar {
namespace {

namespace leaf = boost::leaf;

std::string ReadDeployment(const std::string& name) {
  std::ifstream file(std::string(PIMENTOSPAR_SOURCE_DIR) + "/deployments/" +
                     name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<FormError> ErrorsOf(std::string_view form) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<FormError>> {
        BOOST_LEAF_CHECK(GenerateConfiguration(form));
        return std::vector<FormError>();
      },
      [](const FormErrors& found) { return found.errors; },
      [] {
        return std::vector<FormError>{{0, "other error", ""}};
      });
}

std::string Format(const std::vector<FormError>& errors) {
  std::string text;
  for (const FormError& error : errors) {
    text += std::to_string(error.line) + ": " + error.problem + "\n";
  }
  return text;
}

std::size_t LineOfText(std::string_view form, std::string_view text) {
  const auto at = form.find(text);
  return static_cast<std::size_t>(
             std::count(form.begin(), form.begin() + at, '\n')) +
         1;
}

std::string Replace(std::string form,
                    std::string_view from,
                    std::string_view to) {
  const std::size_t at = form.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return form.replace(at, from.size(), to);
}

struct Sizes {
  std::size_t targets = 0;
  std::size_t accelerators = 0;
  std::size_t models = 0;
  std::size_t adapters = 0;
  std::size_t data_centres = 0;
  auto operator<=>(const Sizes&) const = default;
};

Sizes SizesOf(const Configuration& configuration) {
  Sizes sizes{configuration.targets.size(), 0, configuration.models.size()};
  for (const TargetConfig& target : configuration.targets) {
    sizes.accelerators += target.accelerators;
  }
  for (const ModelConfig& model : configuration.models) {
    sizes.adapters += model.adapters.size();
  }
  for (const RegionConfig& region : configuration.regions) {
    sizes.data_centres += region.data_centres.size();
  }
  return sizes;
}

// Guards against forms of the example deployments that are invalid or have the
// wrong number of targets, accelerators, models, adapters or data centres.
BOOST_AUTO_TEST_CASE(DeploymentsGenerateAtTheirSizes) {
  const std::string stoneworks = ReadDeployment("stoneworks.toml");
  BOOST_TEST(Format(ErrorsOf(stoneworks)) == "");
  const Configuration first = GenerateConfiguration(stoneworks).value();
  BOOST_TEST((SizesOf(first) == Sizes{23, 20, 30, 100, 6}));
  BOOST_TEST((first.objective == PlacementObjective::kFewestOrders));
  BOOST_TEST(first.store.parallel_loads == 3U);
  const OperationConfig* book =
      FindOperation(first.services[0], OperationId("book"));
  BOOST_TEST_REQUIRE(book != nullptr);
  BOOST_TEST(!book->idempotent);

  const std::string cradlecross = ReadDeployment("cradlecross.toml");
  BOOST_TEST(Format(ErrorsOf(cradlecross)) == "");
  const Configuration second = GenerateConfiguration(cradlecross).value();
  BOOST_TEST((SizesOf(second) == Sizes{13, 10, 15, 60, 6}));
  BOOST_TEST((second.objective == PlacementObjective::kAttainment));
  BOOST_TEST(second.store.parallel_adapter_loads == 30U);
  BOOST_TEST(second.owners.size() == 4U);
  BOOST_TEST(!MayUse(second.owners[0], ModelId("brook-01")));
  BOOST_TEST(MayUse(second.owners[0], ModelId("shared-01")));

  const std::string target = ReadDeployment("target.toml");
  BOOST_TEST(Format(ErrorsOf(target)) == "");
  const Sizes sizes = SizesOf(GenerateConfiguration(target).value());
  BOOST_TEST(sizes.targets == 610U);
  BOOST_TEST(sizes.accelerators == 2500U);
  BOOST_TEST(sizes.models == 2000U);
  BOOST_TEST(sizes.data_centres == 10U);
}

// Guards against a group of targets that ends up in a single region.
BOOST_AUTO_TEST_CASE(SpreadsAGroupOverRegions) {
  const Configuration configuration =
      GenerateConfiguration(ReadDeployment("cradlecross.toml")).value();
  for (const RegionConfig& region : configuration.regions) {
    const auto count = std::ranges::count(
        configuration.targets, region.id,
        [](const TargetConfig& item) { return item.region; });
    BOOST_TEST(count >= 4);
  }
}

// Guards against an example form that is still invalid once a token is added.
BOOST_AUTO_TEST_CASE(FormLacksOnlyTheToken) {
  const std::string form(QuestionnaireForm());
  const auto errors = ErrorsOf(form);
  BOOST_TEST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].line == LineOfText(form, "token_hashes = []"));
  BOOST_TEST(errors[0].remedy.find("pimentosparctl token") !=
             std::string::npos);
  const std::string filled =
      Replace(form, "token_hashes = []",
              "token_hashes = [\"" + std::string(64, 'a') + "\"]");
  BOOST_TEST(Format(ErrorsOf(filled)) == "");
}

// Guards against reporting one error at a time, which makes operators correct
// and submit the form again for each, and against wrong line numbers.
BOOST_AUTO_TEST_CASE(ReportsAllErrorsWithTheirLines) {
  struct Mistake {
    std::string_view from;
    std::string_view to;
  };
  constexpr Mistake kMistakes[] = {
      {"objective = \"attainment\"", "objective = \"speed\""},
      {"retention_hours = 168", "retention_hours = 30"},
      {"parallel_loads = 3", "parallel_loads = 0"},
      {"data_centres = [\"south-1\"]", "data_centres = []"},
      {"weight = 1.0", "wait = 1.0"},
      {"token_hashes = []", "token_hashes = [\"secret\"]"},
      {"weight_gb = 14", "weight_gb = \"14 GB\""},
      {"owner = \"shop\"", "owner = \"shops\""},
      {"home_region = \"north\"", "home_region = \"west\""},
      {"memory_gb = 80", "memory_gb = -1"},
      {"checks_fencing = true", "checks_fencing = \"yes\""},
      {"service = \"booking\"", "service = \"bookings\""},
  };
  std::string form(QuestionnaireForm());
  for (const Mistake& mistake : kMistakes) {
    form = Replace(form, mistake.from, mistake.to);
  }
  const auto errors = ErrorsOf(form);
  for (const Mistake& mistake : kMistakes) {
    const std::size_t line = mistake.from == "retention_hours = 168"
                                 ? LineOfText(form, "key_retention_hours = 24")
                             : mistake.from == "service = \"booking\""
                                 ? LineOfText(form, "service = \"bookings\"")
                                 : LineOfText(form, mistake.to);
    BOOST_TEST(std::ranges::any_of(errors,
                                   [&](const FormError& error) {
                                     return error.line == line &&
                                            !error.remedy.empty();
                                   }),
               mistake.to << " is not reported at line " << line << ":\n"
                          << Format(errors));
  }
  BOOST_TEST(std::ranges::is_sorted(errors, {}, &FormError::line));
}

// Guards against a deployment in which models do not fit without one region.
BOOST_AUTO_TEST_CASE(ChecksThatModelsFitWithARegionGone) {
  const std::string form = ReadDeployment("stoneworks.toml");
  // 20 targets of 40 GB hold 540 GB of copies, but not without one region.
  const auto errors =
      ErrorsOf(Replace(form, "memory_gb = 80", "memory_gb = 44"));
  BOOST_TEST(errors.size() == 3U, Format(errors));
  for (const FormError& error : errors) {
    BOOST_TEST(error.problem.find("without region") != std::string::npos);
    BOOST_TEST(error.line == LineOfText(form, "[[targets]]"));
  }
  const std::string large = Replace(form, "weight_gb = 26", "weight_gb = 70");
  const auto too_large = ErrorsOf(large);
  BOOST_TEST_REQUIRE(!too_large.empty());
  BOOST_TEST(too_large[0].line == LineOfText(large, "id = \"care-large\"") - 1);
}

BOOST_AUTO_TEST_CASE(RejectsTextThatIsNotToml) {
  const auto errors = ErrorsOf("deployment = \"a\"\nobjective = [");
  BOOST_TEST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].line >= 2U);
}

}  // namespace
}  // namespace pimentospar
