package loomreel.http;

import loomreel.decision.Model.Outcome;

/** A request that this dispatcher makes: it ends in one of two ways, once. */
public interface Exchange {
    /** When it stops waiting. */
    long deadline();

    /** Its last byte has been written. */
    default void written() { }

    /** The other side has answered; the body is released after this. */
    void answered(Message message);

    /** There is no answer: {@code CONNECT_FAILED} (nothing ran), {@code RESET} or {@code TIMEOUT}. */
    void broken(Outcome outcome);
}
