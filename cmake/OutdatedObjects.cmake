# mulberrywall_remove_outdated_objects(<root> <source>...)
#
# Removes all object files of the build folder, and the hash of the sources, if a source, given relative to the root, may have
# changed without becoming newer than them, as it does when sources are unpacked with the times at which they were committed. The
# build tool compares times only, and would go on to use the outdated files. To be called when the folder is configured, before
# targets are added.
function(mulberrywall_remove_outdated_objects root)
    set(record ${CMAKE_BINARY_DIR}/sources.txt)
    set(earlier "")
    if(EXISTS ${record})
        file(STRINGS ${record} earlier)
    endif()
    set(current "")
    set(isOutdated FALSE)
    foreach(source IN LISTS ARGN)
        file(SHA256 ${root}/${source} digest)
        list(APPEND current "${digest} ${source}")
        # A folder without a record may have objects of any sources.
        if(NOT "${digest} ${source}" IN_LIST earlier AND NOT (EXISTS ${record} AND ${root}/${source} IS_NEWER_THAN ${record}))
            set(isOutdated TRUE)
        endif()
    endforeach()
    if(isOutdated)
        file(GLOB_RECURSE objects ${CMAKE_BINARY_DIR}/*.o ${CMAKE_BINARY_DIR}/*.gch ${CMAKE_BINARY_DIR}/SourceHash.cpp)
        if(objects)
            message(STATUS "Removing object files that may be older than their sources")
            file(REMOVE ${objects})
        endif()
    endif()
    list(JOIN current "\n" text)
    file(WRITE ${record} "${text}\n")
endfunction()
