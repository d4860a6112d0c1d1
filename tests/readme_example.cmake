# Checks that the README quotes the example file exactly, so that readers copy code that the tests have run.
file(READ ${README} readme)
file(READ ${EXAMPLE} example)
string(FIND "${readme}" "\n```cpp\n${example}```\n" at)
if(at EQUAL -1)
  message(FATAL_ERROR "README.md does not quote ${EXAMPLE} exactly")
endif()
