#pragma once

#include <cstdint>
#include <map>
#include <utility>

/// Counts how many elements are visited, so that tests can bound the work of a decision without a clock.
namespace mulberrywall::support
{

/// Returns the number of steps that the current thread has counted since its start.
std::uint64_t stepCount();

/// Adds to the number of steps of the current thread.
void countSteps(std::uint64_t steps);

/// An iterator that counts a step each time it is advanced.
template <typename Iterator>
class CountedIterator : public Iterator
{
public:
    CountedIterator() = default;
    CountedIterator(Iterator position)
        : Iterator(position)
    {
    }

    CountedIterator &operator++()
    {
        countSteps(1);
        Iterator::operator++();
        return *this;
    }
    CountedIterator operator++(int)
    {
        CountedIterator before = *this;
        ++*this;
        return before;
    }
};

/// A std::map that counts the elements which a loop over it visits. For containers that grow with the configuration and are used on
/// the path of a request. Lookups by key are not counted: their cost hardly grows.
template <typename Key, typename Value>
class CountedMap : public std::map<Key, Value>
{
    using Base = std::map<Key, Value>;

public:
    using iterator = CountedIterator<typename Base::iterator>;
    using const_iterator = CountedIterator<typename Base::const_iterator>;

    using Base::Base;

    iterator begin()
    {
        return Base::begin();
    }
    [[nodiscard]] const_iterator begin() const
    {
        return Base::begin();
    }
    iterator end()
    {
        return Base::end();
    }
    [[nodiscard]] const_iterator end() const
    {
        return Base::end();
    }
};

} // namespace mulberrywall::support
