// Runs one case: review-stand-2 NAME. See stand.hpp; run-case.sh sets the environment.
#include "cases.hpp"

int main(int argc, char** argv) {
  using namespace review;
  const std::map<std::string, Verdict (*)()> cases = {{"second-copy", second_copy},
                                                      {"same-id", same_id},
                                                      {"garbled-byte", garbled_byte},
                                                      {"stale-delete", stale_delete},
                                                      {"spoilt-length", spoilt_length}};
  signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen(variable("CASE_RECORD").c_str(), "w");
  if (argc != 2 || record_file == nullptr || !cases.contains(argv[1])) return kNotRun;
  note("case %s, %s the disruption", argv[1], trouble() ? "with" : "without");
  const Verdict verdict = cases.at(argv[1])();
  note("%s", verdict == kHeld ? "held" : verdict == kBroken ? "broken" : "could not run");
  std::fclose(record_file);
  std::_Exit(verdict);
}
