#pragma once

#include "units/time.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace parsleytrack
{

/// The steps of a planned stop, one after another. It is started once;
/// further requests to stop change nothing.
class drain_sequence
{
public:
    /// Begins its work and calls the function when nothing is left to do.
    using step = std::function<void(std::function<void()>)>;

    /// \param name Names the step in logs.
    /// \param work What is done.
    void add(std::string name, step work);

    /// Starts the first step, unless that was done before.
    void start();

private:
    struct named_step
    {
        std::string name;
        step work;
    };

    void run(std::size_t index);

    std::vector<named_step> steps;
    time_point step_began;
    bool started = false;
};

} // namespace parsleytrack
