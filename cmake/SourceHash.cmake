# Hashes the product's sources, so that a program can name the sources it was built from:
#
#   cmake -P cmake/SourceHash.cmake                prints the hash of the sources as they are now
#   cmake -DOUTPUT=<file> -P cmake/SourceHash.cmake   writes a C++ file that defines it
cmake_minimum_required(VERSION 3.25)
get_filename_component(root "${CMAKE_CURRENT_LIST_DIR}/.." ABSOLUTE)
include(${CMAKE_CURRENT_LIST_DIR}/SourceList.cmake)
mulberrywall_list_sources(${root} sources)
set(lines "")
foreach(source IN LISTS sources)
    file(SHA256 ${root}/${source} digest)
    string(APPEND lines "${digest} ${source}\n")
endforeach()
string(SHA256 hash "${lines}")
string(SUBSTRING ${hash} 0 16 hash)
if(DEFINED OUTPUT)
    file(WRITE ${OUTPUT} "#include \"mulberrywall/Support/BuildInfo.h\"\n\nconst char *const mulberrywall::support::sourceHash = \"${hash}\";\n")
else()
    execute_process(COMMAND ${CMAKE_COMMAND} -E echo ${hash})
endif()
