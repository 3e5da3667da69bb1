#include "Process.h"

#include <LibCore/Verify.h>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Harness {

Process::Process(std::string const& program, std::vector<std::string> const& arguments, std::string const& log_file)
{
    std::vector<char*> words { const_cast<char*>(program.c_str()) };
    for (auto const& argument : arguments)
        words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t readable = 0644;
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, readable);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    auto const failure = posix_spawn(&this->id, program.c_str(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    VERIFY(failure == 0);
}

Process::~Process()
{
    this->kill();
}

void Process::kill()
{
    if (this->id < 0)
        return;
    ::kill(this->id, SIGKILL);
    waitpid(this->id, nullptr, 0);
    this->id = -1;
}

int Process::terminate()
{
    VERIFY(this->id >= 0);
    ::kill(this->id, SIGTERM);
    int status = 0;
    waitpid(this->id, &status, 0);
    this->id = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Process::has_ended() const
{
    siginfo_t ended {};
    // NOTE: The process stays waitable, so that its id is not given to another one before kill() or terminate().
    auto const failure = waitid(P_PID, static_cast<id_t>(this->id), &ended, WEXITED | WNOHANG | WNOWAIT);
    return failure != 0 || ended.si_pid != 0;
}

void Process::freeze() const
{
    ::kill(this->id, SIGSTOP);
}

void Process::thaw() const
{
    ::kill(this->id, SIGCONT);
}

}
