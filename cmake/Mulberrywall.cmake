# Finds the dependencies, sets the compiler flags and defines the functions with which every CMakeLists.txt adds targets.

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS log json thread)
find_package(OpenSSL REQUIRED)
find_package(CLI11 REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(TOMLPLUSPLUS REQUIRED IMPORTED_TARGET tomlplusplus)
# Uses pkg-config, since Debian's CMake package of Cap'n Proto looks for libatomic where Debian does not install it.
pkg_check_modules(CAPNP_RPC REQUIRED IMPORTED_TARGET capnp-rpc)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
if(BUILD_TESTING)
    find_package(GTest REQUIRED)
endif()

add_library(mulberrywallOptions INTERFACE)
option(MULBERRYWALL_WARNINGS_AS_ERRORS "Stop the build at warnings; for the presets that CI uses" OFF)
target_compile_options(mulberrywallOptions INTERFACE -Wall -Wextra -Wno-missing-field-initializers)
if(MULBERRYWALL_WARNINGS_AS_ERRORS)
    target_compile_options(mulberrywallOptions INTERFACE -Werror)
endif()
target_include_directories(mulberrywallOptions INTERFACE ${PROJECT_SOURCE_DIR}/include)
target_compile_definitions(mulberrywallOptions INTERFACE
    BOOST_ALL_DYN_LINK
    BOOST_ASIO_SEPARATE_COMPILATION
    BOOST_BEAST_SEPARATE_COMPILATION
    MULBERRYWALL_VERSION="${PROJECT_VERSION}")
target_link_libraries(mulberrywallOptions INTERFACE Threads::Threads)

# Headers to precompile for targets with many files that use Asio, Beast and JSON: they dominate the compile time there.
set(MULBERRYWALL_NETWORK_HEADERS <boost/asio.hpp> <boost/beast/http.hpp> <boost/json.hpp>)

# mulberrywall_add_library(<name> [PCH <header>...] SOURCES <file>... [DEPENDS <target>...])
#
# Adds the static library mulberrywall<name>. PCH lists headers to precompile.
function(mulberrywall_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PCH" ${ARGN})
    add_library(mulberrywall${name} STATIC ${ARG_SOURCES})
    target_link_libraries(mulberrywall${name} PUBLIC mulberrywallOptions ${ARG_DEPENDS})
    if(ARG_PCH)
        target_precompile_headers(mulberrywall${name} PRIVATE ${ARG_PCH})
    endif()
endfunction()

# Writes the hash of the sources whenever one of them is newer, as the compiler is run: a program with outdated object files keeps
# the hash of the outdated sources.
include(${CMAKE_CURRENT_LIST_DIR}/OutdatedObjects.cmake)
include(${CMAKE_CURRENT_LIST_DIR}/SourceList.cmake)
mulberrywall_list_sources(${PROJECT_SOURCE_DIR} MULBERRYWALL_SOURCES)
mulberrywall_remove_outdated_objects(${PROJECT_SOURCE_DIR} ${MULBERRYWALL_SOURCES})
list(TRANSFORM MULBERRYWALL_SOURCES PREPEND ${PROJECT_SOURCE_DIR}/)
set(sourceHashFile ${CMAKE_BINARY_DIR}/SourceHash.cpp)
add_custom_command(OUTPUT ${sourceHashFile}
    COMMAND ${CMAKE_COMMAND} -DOUTPUT=${sourceHashFile} -P ${PROJECT_SOURCE_DIR}/cmake/SourceHash.cmake
    DEPENDS ${MULBERRYWALL_SOURCES})
add_library(mulberrywallSourceHash STATIC ${sourceHashFile})
target_link_libraries(mulberrywallSourceHash PUBLIC mulberrywallOptions)

# mulberrywall_add_tool(<name> SOURCES <file>... DEPENDS <target>...)
#
# Adds an executable, which has the hash of its sources and a build id.
function(mulberrywall_add_tool name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE mulberrywallOptions mulberrywallSourceHash ${ARG_DEPENDS})
    target_link_options(${name} PRIVATE -Wl,--build-id=sha1)
endfunction()

# mulberrywall_add_test(<name> SOURCES <file>... DEPENDS <target>... [LABELS <label>...] [TIMEOUT <seconds>] [SERIAL])
#
# Adds a GoogleTest executable and registers each of its tests with ctest. The timeout of a test is 60 s by default. SERIAL is
# for process tests whose timing requires that no other test runs at the same time.
function(mulberrywall_add_test name)
    cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE mulberrywallOptions ${ARG_DEPENDS} GTest::gtest_main)
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 60)
    endif()
    set(properties TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}")
    if(ARG_SERIAL)
        list(APPEND properties RUN_SERIAL TRUE)
    endif()
    gtest_discover_tests(${name} DISCOVERY_TIMEOUT 30 PROPERTIES ${properties})
endfunction()
