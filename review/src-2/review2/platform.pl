# The platform in a hot restart: owns the clients' listening socket, on a free port of 127.0.0.1, and passes it to each
# process that it starts as descriptor 0. Prints the port; then, for each line "LOG MGMT COMMAND" on its standard input, it
# starts COMMAND and prints the process id. BALANCER_LISTEN is set here; the rest of the environment is passed on.
use strict;
use warnings;
use Socket;
use POSIX ();

$| = 1;
socket(my $listener, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
setsockopt($listener, SOL_SOCKET, SO_REUSEADDR, 1);
bind($listener, sockaddr_in(0, inet_aton('127.0.0.1'))) or die "bind: $!";
listen($listener, 4096) or die "listen: $!";
my ($port) = sockaddr_in(getsockname($listener));
$ENV{BALANCER_LISTEN} = "127.0.0.1:$port";
$ENV{BALANCER_LISTEN_FD} = '0';
print "$port\n";
# Ended children are reaped at once, so that a look at the process id tells whether it runs.
$SIG{CHLD} = 'IGNORE';
my @children;
while (my $line = <STDIN>) {
  chomp $line;
  my ($log, $mgmt, $command) = split / /, $line, 3;
  my $pid = fork();
  die "fork: $!" unless defined $pid;
  if ($pid == 0) {
    $ENV{BALANCER_MGMT} = "127.0.0.1:$mgmt";
    POSIX::dup2(fileno($listener), 0);
    open(my $out, '>>', $log) or die "log: $!";
    POSIX::dup2(fileno($out), 1);
    POSIX::dup2(fileno($out), 2);
    exec('/bin/sh', '-c', $command) or die "exec: $!";
  }
  push @children, $pid;
  print "$pid\n";
}
kill 'KILL', @children;
