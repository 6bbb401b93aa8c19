# Guards against a build folder whose program stays that of the earlier sources, after sources with older times were unpacked over
# them (review/8: the repaired code was built, and the program had the fault still). Runs as: cmake -DROOT=<repository> -DFOLDER=<folder> -P
cmake_minimum_required(VERSION 3.25)

# Writes the source that determines the exit code of the example program. With a time, as touch accepts it, the file gets that time.
function(write_value value)
    file(WRITE ${FOLDER}/Value.h "constexpr int value = ${value};\n")
    if(ARGC GREATER 1)
        execute_process(COMMAND touch -d ${ARGV1} ${FOLDER}/Value.h COMMAND_ERROR_IS_FATAL ANY)
    endif()
endfunction()

# Builds the program as deploy/system.toml does and fails unless it returns the value.
function(expect_value value description)
    execute_process(COMMAND ${CMAKE_COMMAND} -S ${FOLDER} -B ${FOLDER}/build OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
    execute_process(COMMAND ${CMAKE_COMMAND} --build ${FOLDER}/build OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
    execute_process(COMMAND ${FOLDER}/build/example RESULT_VARIABLE result)
    if(NOT result EQUAL value)
        message(FATAL_ERROR "${description}: the program returns ${result}, but its sources say ${value}")
    endif()
endfunction()

file(REMOVE_RECURSE ${FOLDER})
file(WRITE ${FOLDER}/Main.cpp "#include \"Value.h\"\n\nint main()\n{\n    return value;\n}\n")
file(WRITE ${FOLDER}/CMakeLists.txt "cmake_minimum_required(VERSION 3.25)\nproject(example LANGUAGES CXX)\n"
    "include(${ROOT}/cmake/OutdatedObjects.cmake)\n"
    "mulberrywall_remove_outdated_objects(\${CMAKE_CURRENT_SOURCE_DIR} Main.cpp Value.h)\nadd_executable(example Main.cpp)\n")

write_value(1)
expect_value(1 "new folder")
file(WRITE ${FOLDER}/build/SourceHash.cpp "// the hash of the earlier sources")
write_value(2 2001-01-01)
expect_value(2 "sources with an older time")
if(EXISTS ${FOLDER}/build/SourceHash.cpp)
    message(FATAL_ERROR "sources with an older time: the hash of the earlier sources is still there")
endif()
write_value(3)
expect_value(3 "edited sources")

set(object ${FOLDER}/build/CMakeFiles/example.dir/Main.cpp.o)
file(TIMESTAMP ${object} before)
execute_process(COMMAND ${CMAKE_COMMAND} -E sleep 1.1)
expect_value(3 "unchanged sources")
file(TIMESTAMP ${object} after)
if(NOT before STREQUAL after)
    message(FATAL_ERROR "unchanged sources: the object file was built again")
endif()

file(REMOVE ${FOLDER}/build/sources.txt)
write_value(4 2001-01-01)
expect_value(4 "a folder of a release that kept no record")
