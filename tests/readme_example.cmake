# The README shows the example as it is compiled: what a reader copies is what the tests run.
file(READ ${README} readme)
file(READ ${EXAMPLE} example)
string(FIND "${readme}" "\n```cpp\n${example}```\n" at)
if(at EQUAL -1)
  message(FATAL_ERROR "README.md does not show ${EXAMPLE} as it stands")
endif()
