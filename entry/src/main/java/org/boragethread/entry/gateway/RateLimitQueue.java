package org.boragethread.entry.gateway;

import java.util.Comparator;
import java.util.TreeSet;

/** Requests of one group that wait because its upstreams name limits, the most urgent first. */
final class RateLimitQueue {

    private static final Comparator<Ticket> ORDER =
            Comparator.comparingInt(Ticket::priority).thenComparingLong(Ticket::number);

    private final TreeSet<Ticket> mTickets = new TreeSet<>(ORDER);
    private long mNextNumber;

    /**
     * Place of a request in the queue.
     *
     * @param priority priority of the request, 0 for the most urgent
     * @param number orders requests of one priority by their arrival
     */
    record Ticket(int priority, long number) {}

    /** Adds a request. */
    Ticket add(int priority) {
        Ticket ticket = new Ticket(priority, mNextNumber++);
        mTickets.add(ticket);
        return ticket;
    }

    void remove(Ticket ticket) {
        mTickets.remove(ticket);
    }

    /** Returns the number of requests that go before one of the queue. */
    int ahead(Ticket ticket) {
        return mTickets.headSet(ticket).size();
    }

    /** Returns the number of requests that would go before one that is added now. */
    int ahead(int priority) {
        return mTickets.headSet(new Ticket(priority, mNextNumber)).size();
    }
}
