#!/usr/bin/perl
# The platform's part in an upgrade: holds the clients' listening socket and starts processes that inherit it
# as descriptor 0. Prints the socket's port. Reads lines of: log file, command, then NAME=VALUE, separated by
# tabs; answers each with the process's id. Ends at the end of its input.
use strict;
use warnings;
use IO::Socket::INET;
use POSIX;

my $listener = IO::Socket::INET->new(Listen => 512, ReuseAddr => 1, LocalAddr => '127.0.0.1') or die;
$| = 1;
$SIG{CHLD} = 'IGNORE';
print $listener->sockport, "\n";
while (my $line = <STDIN>) {
    chomp $line;
    my ($log, $command, @variables) = split /\t/, $line;
    my $pid = fork();
    if ($pid == 0) {
        $SIG{CHLD} = 'DEFAULT';
        $ENV{$1} = $2 while defined($_ = shift @variables) && /^([^=]+)=(.*)$/s;
        open(my $out, '>', $log) or die;
        POSIX::dup2(fileno($listener), 0);
        POSIX::dup2(fileno($out), 1);
        POSIX::dup2(fileno($out), 2);
        exec '/bin/sh', '-c', $command;
    }
    print "$pid\n";
}
