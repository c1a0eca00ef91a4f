package org.boragethread.core.configcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.model.upstream.GroupId;

/**
 * Place in a routing configuration.
 *
 * @param steps fields from the outermost to the innermost one
 */
public record Place(List<Step> steps) {

    /**
     * One field on the way to a place.
     *
     * @param field the field
     * @param element which element of a list; the name of a group, a key of a team, or else an
     *     index
     */
    public record Step(Field field, Optional<String> element) {}

    public Place {
        steps = List.copyOf(steps);
    }

    /** Returns the place of a field of the configuration itself. */
    public static Place of(Field field) {
        return new Place(List.of(new Step(field, Optional.empty())));
    }

    static Place route(int index) {
        return new Place(List.of()).at(Field.ROUTES, index);
    }

    static Place stage(int route, int stage) {
        return route(route).at(Field.STAGES, stage);
    }

    static Place group(GroupId group) {
        return new Place(List.of(new Step(Field.GROUPS, Optional.of(group.value()))));
    }

    /** Returns the place of the keys of the team that holds a key; several may have one name. */
    static Place keys(String key) {
        return new Place(List.of(new Step(Field.TEAMS, Optional.of(key)))).at(Field.KEYS);
    }

    /** Returns the place of a field of the object at this place. */
    public Place at(Field field) {
        return with(new Step(field, Optional.empty()));
    }

    Place at(Field field, int index) {
        return with(new Step(field, Optional.of(String.valueOf(index))));
    }

    private Place with(Step step) {
        List<Step> longer = new ArrayList<>(steps);
        longer.add(step);
        return new Place(longer);
    }
}
