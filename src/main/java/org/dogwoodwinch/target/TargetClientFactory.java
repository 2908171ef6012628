package org.dogwoodwinch.target;

/** Creates clients of targets; users provide their own implementation to connect targets of another kind. */
public interface TargetClientFactory {

    /**
     * Returns a client of an engine.
     *
     * @param target the engine, not null
     * @return the client; cheap to create
     */
    EngineClient engineClient(Target target);

    /**
     * Returns a client of a target of a plain service.
     *
     * @param target the target, not null
     * @return the client; cheap to create
     */
    ServiceClient serviceClient(Target target);
}
