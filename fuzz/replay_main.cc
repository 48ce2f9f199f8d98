// Runs a fuzz target over its corpus, and over fixed mutations of it, without
// libFuzzer.

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

#include "poplarstair/core/file.h"
#include "poplarstair/core/random.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace {

using namespace poplarstair;

constexpr uint64_t kSeed = 1;
constexpr int kMutationsPerFile = 400;
constexpr uint64_t kMaxChanges = 8;

void RunOne(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(input.data()),
                         input.size());
}

/// Changes, cuts out or repeats a few bytes.
std::string Mutate(std::string input, random_source& random) {
  const uint64_t changes = 1 + RandomBelow(random, kMaxChanges);
  for (uint64_t i = 0; i < changes && !input.empty(); ++i) {
    const size_t at = RandomBelow(random, input.size());
    const size_t length =
        1 + RandomBelow(random, std::min<size_t>(8, input.size() - at));
    switch (RandomBelow(random, 4)) {
      case 0:
        input[at] = static_cast<char>(RandomBelow(random, 256));
        break;
      case 1:
        input.erase(at, length);
        break;
      case 2:
        input.insert(at, input.substr(at, length));
        break;
      default:
        input.resize(at);
        break;
    }
  }
  return input;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("usage: replay_NAME CORPUS_FOLDER\n", stderr);
    return 2;
  }
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
    files.push_back(entry.path().string());
  }
  std::sort(files.begin(), files.end());
  random_source random(kSeed);
  int inputs = 0;
  for (const std::string& file : files) {
    const std::string input = ReadFile(file);
    RunOne(input);
    for (int i = 0; i < kMutationsPerFile; ++i) RunOne(Mutate(input, random));
    inputs += 1 + kMutationsPerFile;
  }
  std::printf("result name=%s violations=0 inputs=%d\n",
              std::filesystem::path(argv[0]).filename().c_str(), inputs);
  return files.empty() ? 1 : 0;
}
